package org.amaranthstream.weights;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.TimerService;

/**
 * Brings each engine to the newest weight version of the model of which it has a share, a few at a
 * time.
 *
 * <p>Acts only while this daemon holds the duty. Used on one thread.
 */
public final class WeightController {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Of the engines, one in so many may load at a time; it starts no requests meanwhile. */
  private static final int CONCURRENT_PART = 4;

  private static final int MIN_CONCURRENT = 2;
  private static final Duration TICK = Duration.ofMillis(200);

  private final EntryVmId self;
  private final NamedVersions named;
  private final ServerDirectory directory;
  private final SwapTransport transport;
  private final TimerService timers;
  private final DutyFence fence;
  private final EngineShares shares = new EngineShares();
  private final Map<TrackedServer, EngineSwap> swaps = new HashMap<>();

  private WeightController(
      EntryVmId self,
      NamedVersions named,
      ServerDirectory directory,
      SwapTransport transport,
      TimerService timers,
      DutyFence fence) {
    this.self = self;
    this.named = named;
    this.directory = directory;
    this.transport = transport;
    this.timers = timers;
    this.fence = fence;
  }

  /**
   * Returns a controller, not started.
   *
   * @param fence tells whether this daemon may order, asked right before each order
   */
  public static WeightController create(
      EntryVmId self,
      NamedVersions named,
      ServerDirectory directory,
      SwapTransport transport,
      TimerService timers,
      DutyFence fence) {
    return new WeightController(
        checkNotNull(self, "self"),
        checkNotNull(named, "named"),
        checkNotNull(directory, "directory"),
        checkNotNull(transport, "transport"),
        checkNotNull(timers, "timers"),
        checkNotNull(fence, "fence"));
  }

  /** Starts to order. */
  public void start() {
    timers.every(TICK, this::plan);
  }

  /** Orders what is to be ordered now. */
  public void plan() {
    if (fence.current().isEmpty()) {
      return;
    }
    Map<ModelId, WeightVersion> newest = named.newest();
    Collection<TrackedServer> engines = directory.all();
    shares.update(engines, newest);
    int most = Math.max(MIN_CONCURRENT, shares.size() / CONCURRENT_PART);
    while (swaps.size() < most) {
      Optional<TrackedServer> next = SwapOrder.next(engines, shares, newest, this::isFree);
      if (next.isEmpty()) {
        return;
      }
      ModelId model = shares.modelOf(next.get()).orElseThrow();
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
    EngineSwap swap =
        new EngineSwap(server, model, version, self, transport, timers, fence, this::onDone);
    swaps.put(server, swap);
    swap.start();
  }

  private void onDone(EngineSwap swap, String outcome) {
    swaps.remove(swap.server());
    logger.atInfo().log("event=swap_ended server=%s outcome=\"%s\"", swap.server().id(), outcome);
    directory.notifyListeners();
    plan();
  }
}
