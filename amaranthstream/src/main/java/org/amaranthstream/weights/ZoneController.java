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
 * Brings the model engines of one pool in the own availability zone to the newest weight version.
 *
 * <p>Only the holder of the pool's lease gives orders. An order is absolute and is given only to a
 * server that reports an older version, so it never lowers one by intent; a server that a late
 * order of a former controller has set back is ordered forward again once it reports so. Used on
 * the decision thread only.
 */
public final class ZoneController {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TICK = Duration.ofSeconds(1);
  private static final Duration ORDER_MARGIN = Duration.ofSeconds(2);
  private static final double NEWEST_WEIGHT = 0.25;

  private final ZoneControllerBuilder parts;
  private final ControllerLease lease;
  private final OrderFloor floor;
  private final Map<BackendServerId, EngineState> engines = new HashMap<>();
  private final Map<LoadOutcome, Long> outcomes = new HashMap<>();
  private double swapSeconds = 1;
  private @Nullable Subscription tick;

  ZoneController(ZoneControllerBuilder parts) {
    this.parts = parts;
    this.lease = parts.lease();
    this.floor = parts.orderFloor();
  }

  /** Returns a builder. */
  public static ZoneControllerBuilder builder() {
    return new ZoneControllerBuilder();
  }

  /** Begins to compete for the lease and to give orders. */
  public void start() {
    tick = parts.timerService().every(TICK, this::tick);
    tick();
  }

  /** Gives no further order and gives the lease up. */
  public void stop() {
    if (tick != null) {
      tick.cancel();
    }
    lease.release();
  }

  /** Gives the orders that are due; also to be called when a newer version is announced. */
  public void tick() {
    lease.maintain();
    Optional<FencingNumber> fencing = lease.fencingFor(ORDER_MARGIN);
    Optional<Pool> pool = parts.pool();
    if (fencing.isEmpty() || pool.isEmpty() || pool.get().model().isEmpty()) {
      return;
    }
    ModelId model = pool.get().model().get();
    Optional<WeightVersion> target = parts.weightRegistry().newest(model);
    if (target.isEmpty()) {
      return;
    }
    Optional<WeightVersion> version = floor.confirmed(fencing.get(), target.get());
    if (version.isPresent()) {
      orderAll(model, version.get(), fencing.get());
    } else {
      floor.raise(fencing.get(), target.get(), this::tick);
    }
  }

  /** Returns the state for the state dump. */
  public ZoneControllerDescription describe() {
    Optional<FencingNumber> fencing = lease.fencingFor(Duration.ZERO);
    return new ZoneControllerDescription(
        parts.poolId().value(),
        fencing.isPresent(),
        fencing.map(FencingNumber::value).orElse(0L),
        swapping(),
        swapSeconds,
        ImmutableMap.copyOf(outcomes));
  }

  private void orderAll(ModelId model, WeightVersion target, FencingNumber fencing) {
    ImmutableList<BackendView> servers = parts.backendDirectory().local(parts.poolId());
    forgetGone(servers);
    ImmutableList<BackendView> active =
        servers.stream()
            .filter(view -> !view.leaving() && view.report().isPresent())
            .collect(ImmutableList.toImmutableList());
    int allowed = parts.swapPacing().concurrentSwaps(pacingInput(active, target)) - swapping();
    for (BackendView view : active) {
      if (allowed > 0 && isDue(view, target)) {
        order(view, model, target, fencing);
        allowed--;
      }
    }
  }

  private void forgetGone(ImmutableList<BackendView> servers) {
    Set<BackendServerId> present =
        servers.stream().map(view -> view.server().id()).collect(Collectors.toSet());
    Set<BackendServerId> gone = new HashSet<>(engines.keySet());
    gone.removeAll(present);
    engines.keySet().removeAll(gone);
  }

  private boolean isDue(BackendView view, WeightVersion target) {
    LoadReport report = view.report().orElseThrow();
    EngineState state = engines.computeIfAbsent(view.server().id(), ignored -> new EngineState());
    long now = parts.timerService().nowNanos();
    state.onReport(report.incarnation(), now);
    state.dropLost(now);
    return EngineState.isBehind(report.version(), target) && state.mayOrder(now);
  }

  private SwapPacingInput pacingInput(ImmutableList<BackendView> active, WeightVersion target) {
    long behind =
        active.stream()
            .mapToLong(view -> versionsBehind(view.report().orElseThrow(), target))
            .max()
            .orElse(0);
    return new SwapPacingInput(active.size(), behind, parts.smallestBound(), swapSeconds);
  }

  private static long versionsBehind(LoadReport report, WeightVersion target) {
    return report.version().map(v -> target.value() - v.value()).orElse(Long.MAX_VALUE);
  }

  private int swapping() {
    return (int) engines.values().stream().filter(EngineState::isOrdered).count();
  }

  private void order(BackendView view, ModelId model, WeightVersion target, FencingNumber fencing) {
    EngineState state = engines.get(view.server().id());
    state.onOrder(parts.timerService().nowNanos());
    LoadOrder order =
        new LoadOrder(
            view.server(), model, target, fencing, () -> lease.isValidFor(fencing, ORDER_MARGIN));
    parts.engineControl().load(order, reply -> onReply(state, order, reply));
  }

  private void onReply(EngineState state, LoadOrder order, LoadReply reply) {
    long now = parts.timerService().nowNanos();
    if (reply instanceof LoadReply.Loaded) {
      note(LoadOutcome.LOADED);
      double seconds = state.onLoaded(now).toMillis() / 1e3;
      swapSeconds += NEWEST_WEIGHT * (seconds - swapSeconds);
      return;
    }
    if (reply instanceof LoadReply.Withheld) {
      note(LoadOutcome.WITHHELD);
      state.onWithheld();
      return;
    }
    state.onFailed(now);
    if (reply instanceof LoadReply.Fenced) {
      note(LoadOutcome.FENCED);
      lease.depose(order.fencing());
    } else {
      note(LoadOutcome.FAILED);
    }
    logger.atWarning().log(
        "event=load_order_failed server=%s version=%s fencing=%s reply=%s",
        order.server().id(), order.version(), order.fencing(), reply);
  }

  private void note(LoadOutcome outcome) {
    outcomes.merge(outcome, 1L, Long::sum);
  }
}
