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
 * Graceful shutdown: not ready, accept until balancers have noticed, refuse, finish what is in
 * flight. Nothing in flight is cut off, however long it takes; being late is logged.
 */
final class Shutdown {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration CHECK_PERIOD = Duration.ofMillis(50);
  private static final Duration LATE_LOG_PERIOD = Duration.ofSeconds(10);

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
    pause(timing.drainLag());
    http.drainHandler().startDraining();
    components.rollout().drain();
    logger.atInfo().log("event=shutdown_refusing in_flight=%d", http.drainHandler().inFlight());
    awaitIdle();
    components.rollout().stop();
    awaitCalls();
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
      pause(CHECK_PERIOD);
      if (timers.nowNanos() - nextLogNanos > 0) {
        logger.atWarning().log(
            "event=shutdown_late in_flight=%d waited_s=%d",
            http.drainHandler().inFlight(),
            Duration.ofNanos(timers.nowNanos() - startNanos).toSeconds());
        nextLogNanos = timers.nowNanos() + LATE_LOG_PERIOD.toNanos();
      }
    }
  }

  /** Returns true if no work is active and no step has samples to hand out. */
  private boolean isIdle() {
    CompletableFuture<Boolean> idle = new CompletableFuture<>();
    components.rollout().isIdle(result -> idle.complete(isTrue(result) && !isDispatching()));
    try {
      return idle.get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return true;
    } catch (ExecutionException e) {
      return false;
    }
  }

  private boolean isDispatching() {
    return components.dispatcher().active() > 0;
  }

  private static boolean isTrue(Result<Boolean> result) {
    return result instanceof Result.Success<Boolean> success && success.value();
  }

  /** Waits until the answers of the last calls have been written. */
  private void awaitCalls() {
    while (http.drainHandler().inFlight() > 0) {
      pause(CHECK_PERIOD);
    }
  }

  private void pause(Duration time) {
    CountDownLatch over = new CountDownLatch(1);
    timers.after(time, over::countDown);
    try {
      over.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
