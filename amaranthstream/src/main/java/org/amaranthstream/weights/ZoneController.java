package org.amaranthstream.weights;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.amaranthstream.config.Pool;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.FencingNumber;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.membership.BackendView;
import org.amaranthstream.membership.LoadReport;
import org.amaranthstream.time.Subscription;
import org.jspecify.annotations.Nullable;

/**
 * Controller that updates the model engines of one pool in the local availability zone to the
 * newest weight version.
 *
 * <p>Only the holder of the pool's lease sends orders. An order names an absolute version and is
 * sent only to a server that reports an older one, so this controller never lowers a version
 * intentionally. If a delayed order of an earlier lease holder lowers it, the server is ordered to
 * the newest version again once it reports the old one. Used on the decision thread only.
 */
public final class ZoneController {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TICK_INTERVAL = Duration.ofSeconds(1);
  private static final Duration ORDER_MARGIN = Duration.ofSeconds(2);
  private static final double SWAP_TIME_SMOOTHING = 0.25;

  private final ZoneControllerBuilder builder;
  private final ControllerLease lease;
  private final HighestOrderedVersion orderedVersion;
  private final Map<BackendServerId, EngineOrderState> engines = new HashMap<>();
  private final Map<LoadOutcome, Long> outcomes = new HashMap<>();
  private double swapSeconds = 1;
  private @Nullable Subscription tick;

  ZoneController(ZoneControllerBuilder builder) {
    this.builder = builder;
    this.lease = builder.lease();
    this.orderedVersion = builder.highestOrderedVersion();
  }

  /** Returns a builder. */
  public static ZoneControllerBuilder builder() {
    return new ZoneControllerBuilder();
  }

  /** Starts to compete for the lease and to send orders. */
  public void start() {
    tick = builder.timerService().every(TICK_INTERVAL, this::tick);
    tick();
  }

  /** Stops sending orders and releases the lease. */
  public void stop() {
    if (tick != null) {
      tick.cancel();
    }
    lease.release();
  }

  /**
   * Renews the lease and sends the orders that are due. Also called when a newer version is
   * announced.
   */
  public void tick() {
    lease.renewOrAcquire();
    Optional<FencingNumber> fencing = lease.fencingFor(ORDER_MARGIN);
    Optional<Pool> pool = builder.pool();
    if (fencing.isEmpty() || pool.isEmpty() || pool.get().model().isEmpty()) {
      return;
    }
    ModelId model = pool.get().model().get();
    Optional<WeightVersion> target = builder.weightRegistry().newest(model);
    if (target.isEmpty()) {
      return;
    }
    Optional<WeightVersion> version = orderedVersion.confirmed(fencing.get(), target.get());
    if (version.isPresent()) {
      orderAll(model, version.get(), fencing.get());
    } else {
      orderedVersion.raise(fencing.get(), target.get(), this::tick);
    }
  }

  /** Returns the state for the state dump. */
  public ZoneControllerDescription describe() {
    Optional<FencingNumber> fencing = lease.fencingFor(Duration.ZERO);
    return new ZoneControllerDescription(
        builder.poolId().value(),
        fencing.isPresent(),
        fencing.map(FencingNumber::value).orElse(0L),
        swapsInFlight(),
        swapSeconds,
        ImmutableMap.copyOf(outcomes));
  }

  private void orderAll(ModelId model, WeightVersion target, FencingNumber fencing) {
    ImmutableList<BackendView> servers = builder.backendDirectory().local(builder.poolId());
    removeAbsentEngines(servers);
    ImmutableList<BackendView> active =
        servers.stream()
            .filter(view -> !view.leaving() && view.report().isPresent())
            .collect(ImmutableList.toImmutableList());
    int remainingSwaps =
        builder.swapPacing().concurrentSwaps(pacingInput(active, target)) - swapsInFlight();
    for (BackendView view : active) {
      if (remainingSwaps > 0 && isDue(view, target)) {
        order(view, model, target, fencing);
        remainingSwaps--;
      }
    }
  }

  private void removeAbsentEngines(ImmutableList<BackendView> servers) {
    Set<BackendServerId> present =
        servers.stream().map(view -> view.server().id()).collect(Collectors.toSet());
    Set<BackendServerId> absent = new HashSet<>(engines.keySet());
    absent.removeAll(present);
    engines.keySet().removeAll(absent);
  }

  private boolean isDue(BackendView view, WeightVersion target) {
    LoadReport report = view.report().orElseThrow();
    EngineOrderState state =
        engines.computeIfAbsent(view.server().id(), ignored -> new EngineOrderState());
    long now = builder.timerService().nowNanos();
    state.onReport(report.incarnation(), now);
    state.expireUnanswered(now);
    return EngineOrderState.isBehind(report.version(), target) && state.canOrder(now);
  }

  private SwapPacingInput pacingInput(ImmutableList<BackendView> active, WeightVersion target) {
    long maxVersionsBehind =
        active.stream()
            .mapToLong(view -> versionsBehind(view.report().orElseThrow(), target))
            .max()
            .orElse(0);
    return new SwapPacingInput(
        active.size(), maxVersionsBehind, builder.smallestStalenessBound(), swapSeconds);
  }

  private static long versionsBehind(LoadReport report, WeightVersion target) {
    return report.version().map(v -> target.value() - v.value()).orElse(Long.MAX_VALUE);
  }

  private int swapsInFlight() {
    return (int) engines.values().stream().filter(EngineOrderState::isOrderInFlight).count();
  }

  private void order(BackendView view, ModelId model, WeightVersion target, FencingNumber fencing) {
    EngineOrderState state = engines.get(view.server().id());
    state.onOrder(builder.timerService().nowNanos());
    LoadOrder order =
        new LoadOrder(
            view.server(), model, target, fencing, () -> lease.isValidFor(fencing, ORDER_MARGIN));
    builder.client().load(order, reply -> onReply(state, order, reply));
  }

  private void onReply(EngineOrderState state, LoadOrder order, LoadReply reply) {
    long now = builder.timerService().nowNanos();
    if (reply instanceof LoadReply.Loaded) {
      count(LoadOutcome.LOADED);
      double seconds = state.onLoaded(now).toMillis() / 1e3;
      swapSeconds += SWAP_TIME_SMOOTHING * (seconds - swapSeconds);
      return;
    }
    if (reply instanceof LoadReply.Withheld) {
      count(LoadOutcome.WITHHELD);
      state.onWithheld();
      return;
    }
    state.onFailed(now);
    if (reply instanceof LoadReply.Fenced) {
      count(LoadOutcome.FENCED);
      lease.invalidate(order.fencing());
    } else {
      count(LoadOutcome.FAILED);
    }
    logger.atWarning().log(
        "event=load_order_failed server=%s version=%s fencing=%s reply=%s",
        order.server().id(), order.version(), order.fencing(), reply);
  }

  private void count(LoadOutcome outcome) {
    outcomes.merge(outcome, 1L, Long::sum);
  }
}
