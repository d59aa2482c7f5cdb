package org.amaranthstream.daemon;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import org.amaranthstream.membership.VmPhase;
import org.amaranthstream.result.Result;
import org.amaranthstream.settings.Timing;
import org.amaranthstream.time.TimerService;

/**
 * A graceful shutdown. The daemon first reports that it is not ready and accepts requests for the
 * drain lag, so that load balancers stop sending them. Then it rejects new requests and finishes
 * those in flight.
 *
 * <p>Requests in flight are never aborted. A warning is logged while they exceed the shutdown
 * timeout.
 */
final class Shutdown {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);
  private static final Duration LATE_LOG_INTERVAL = Duration.ofSeconds(10);

  private final DaemonComponents components;
  private final DaemonHttpServer http;
  private final TimerService timers;
  private final Timing timing;

  private Shutdown(DaemonComponents components, DaemonHttpServer http) {
    this.components = components;
    this.http = http;
    this.timers = components.threads().decisionTimers();
    this.timing = components.settings().timing();
  }

  static Shutdown of(DaemonComponents components, DaemonHttpServer http) {
    return new Shutdown(components, http);
  }

  /** Runs the whole sequence on the calling thread. */
  void run() {
    logger.atInfo().log("event=shutdown_begun vm=%s", components.self().id());
    http.setNotReady();
    components.threads().decisions().offer(this::announceLeaving);
    sleep(timing.drainLag());
    http.drainHandler().startDraining();
    components.rollout().drain();
    logger.atInfo().log("event=shutdown_refusing in_flight=%d", http.drainHandler().inFlight());
    awaitIdle();
    components.rollout().stop();
    awaitResponses();
    logger.atInfo().log("event=shutdown_done vm=%s", components.self().id());
  }

  private void announceLeaving() {
    components.table().setPhase(VmPhase.LEAVING);
    components.peers().announce();
  }

  private void awaitIdle() {
    long startNanos = timers.nowNanos();
    long nextLogNanos = startNanos + timing.shutdownTimeout().toNanos();
    while (!isIdle()) {
      sleep(CHECK_INTERVAL);
      if (timers.nowNanos() - nextLogNanos > 0) {
        logger.atWarning().log(
            "event=shutdown_late in_flight=%d waited_s=%d",
            http.drainHandler().inFlight(),
            Duration.ofNanos(timers.nowNanos() - startNanos).toSeconds());
        nextLogNanos = timers.nowNanos() + LATE_LOG_INTERVAL.toNanos();
      }
    }
  }

  /** Returns true if no request is active and no step has samples left to deliver. */
  private boolean isIdle() {
    CompletableFuture<Boolean> idle = new CompletableFuture<>();
    components.rollout().isIdle(result -> idle.complete(isTrue(result) && !hasActiveRequests()));
    try {
      return idle.get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return true;
    } catch (ExecutionException e) {
      return false;
    }
  }

  private boolean hasActiveRequests() {
    return components.dispatcher().active() > 0;
  }

  private static boolean isTrue(Result<Boolean> result) {
    return result instanceof Result.Success<Boolean> success && success.value();
  }

  /** Waits until all responses have been written. */
  private void awaitResponses() {
    while (http.drainHandler().inFlight() > 0) {
      sleep(CHECK_INTERVAL);
    }
  }

  private void sleep(Duration time) {
    CountDownLatch elapsed = new CountDownLatch(1);
    timers.after(time, elapsed::countDown);
    try {
      elapsed.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
