package org.amaranthstream.weights;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.TimerService;

/**
 * Controller that updates each engine to the newest weight version of its assigned model, a few
 * engines at a time.
 *
 * <p>Sends orders only while this daemon is the leader. Used on one thread.
 */
public final class WeightController {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * One engine in this many may load weights at a time. An engine starts no requests while it
   * loads.
   */
  private static final int CONCURRENCY_DIVISOR = 4;

  private static final int MIN_CONCURRENT = 2;
  private static final Duration TICK_INTERVAL = Duration.ofMillis(200);

  private final EntryVmId self;
  private final AnnouncedVersions announced;
  private final ServerDirectory directory;
  private final SwapTransport transport;
  private final TimerService timers;
  private final FencingTokenSource fencingTokens;
  private final EngineAssignment assignment = new EngineAssignment();
  private final Map<TrackedServer, WeightSwap> swaps = new HashMap<>();
  private Supplier<Duration> notice = () -> Duration.ZERO;

  private WeightController(
      EntryVmId self,
      AnnouncedVersions announced,
      ServerDirectory directory,
      SwapTransport transport,
      TimerService timers,
      FencingTokenSource fencingTokens) {
    this.self = self;
    this.announced = announced;
    this.directory = directory;
    this.transport = transport;
    this.timers = timers;
    this.fencingTokens = fencingTokens;
  }

  /**
   * Returns a controller that is not started yet.
   *
   * @param fencingTokens source of the fencing token, queried right before each order
   */
  public static WeightController create(
      EntryVmId self,
      AnnouncedVersions announced,
      ServerDirectory directory,
      SwapTransport transport,
      TimerService timers,
      FencingTokenSource fencingTokens) {
    return new WeightController(
        checkNotNull(self, "self"),
        checkNotNull(announced, "announced"),
        checkNotNull(directory, "directory"),
        checkNotNull(transport, "transport"),
        checkNotNull(timers, "timers"),
        checkNotNull(fencingTokens, "fencingTokens"));
  }

  /**
   * Sets the time between the decision to order an engine and the order, in which daemons learn
   * that the engine will start no requests. Zero gives the order at once.
   */
  public void setNotice(Supplier<Duration> notice) {
    this.notice = checkNotNull(notice, "notice");
  }

  /** Returns the models for which {@code engine} loads weights or is about to. */
  public ImmutableSet<ModelId> loadingModels(TrackedServer engine) {
    WeightSwap swap = swaps.get(engine);
    return swap == null ? ImmutableSet.of() : ImmutableSet.of(swap.model());
  }

  /** Starts to plan swaps periodically. */
  public void start() {
    timers.every(TICK_INTERVAL, this::plan);
  }

  /** Starts the swaps that are due, up to the limit of concurrent swaps. */
  public void plan() {
    if (fencingTokens.current().isEmpty()) {
      return;
    }
    Map<ModelId, WeightVersion> newest = announced.newest();
    Collection<TrackedServer> engines = directory.all();
    assignment.update(engines, newest);
    int maxConcurrent = Math.max(MIN_CONCURRENT, assignment.size() / CONCURRENCY_DIVISOR);
    while (swaps.size() < maxConcurrent) {
      Optional<TrackedServer> next =
          SwapPriority.nextEngine(engines, assignment, newest, this::isFree);
      if (next.isEmpty()) {
        return;
      }
      ModelId model = assignment.modelOf(next.get()).orElseThrow();
      startSwap(next.get(), model, newest.get(model));
    }
  }

  private boolean isFree(TrackedServer engine) {
    return !swaps.containsKey(engine) && !engine.isAvoided(timers.nowNanos());
  }

  private void startSwap(TrackedServer server, ModelId model, WeightVersion version) {
    logger.atInfo().log(
        "event=swap_started server=%s model=%s from=%s to=%s",
        server.id(), model, server.version(model), version);
    WeightSwap swap =
        new WeightSwap(
            server, model, version, self, transport, timers, fencingTokens, this::onDone);
    swaps.put(server, swap);
    Duration delay = notice.get();
    if (delay.isZero()) {
      swap.start();
    } else {
      timers.after(delay, swap::start);
    }
  }

  private void onDone(WeightSwap swap, String outcome) {
    swaps.remove(swap.server());
    logger.atInfo().log("event=swap_ended server=%s outcome=\"%s\"", swap.server().id(), outcome);
    directory.notifyListeners();
    plan();
  }
}
