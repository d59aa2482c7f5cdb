package org.amaranthstream.calls;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.time.TimerService;

/**
 * Phases of a daemon's graceful shutdown.
 *
 * <p>After its begin the daemon is not ready, and accepts only the requests that it can finish. The
 * load balancer reacts after a delay. At the end of the grace period the remaining requests are
 * failed, which leaves a short time for their responses. Not thread safe: used on the thread of its
 * timers.
 *
 * <pre>{@code
 * shutdown.begin(signalNanos);
 * if (!shutdown.accepts(timeLeft, calls.longestResponse(route))) {
 *   reject(ResultCode.NOT_RUN_SHUTTING_DOWN);
 * }
 * }</pre>
 */
public final class GracefulShutdown {
  /** The balancer probes readiness once a second and removes a daemon after two failed probes. */
  private static final Duration BALANCER_DELAY = Duration.ofMillis(3_200);

  private static final Duration GRACE_PERIOD = Duration.ofMillis(7_000);
  private static final Duration RESPONSE_PERIOD = Duration.ofMillis(500);

  private final TimerService timers;
  private final ShutdownAdmission admission = ShutdownAdmission.of(GRACE_PERIOD, BALANCER_DELAY);
  private boolean isBegun;
  private long beginNanos;

  private GracefulShutdown(TimerService timers) {
    this.timers = timers;
  }

  /** Returns a shutdown that has not begun. */
  public static GracefulShutdown create(TimerService timers) {
    return new GracefulShutdown(checkNotNull(timers, "timers"));
  }

  /**
   * Begins the shutdown.
   *
   * @param signalNanos the time of the signal to shut down, as the timers count it. A busy thread
   *     learns of it later.
   */
  public void begin(long signalNanos) {
    isBegun = true;
    beginNanos = signalNanos;
  }

  /** Returns true once the shutdown has begun. */
  public boolean isBegun() {
    return isBegun;
  }

  /**
   * Returns true if a request that arrives now is accepted.
   *
   * @param timeLeft the time after which the request times out
   * @param longestResponse the longest time that recent requests like it have taken, empty if there
   *     were none
   */
  public boolean accepts(Duration timeLeft, Optional<Duration> longestResponse) {
    return !isBegun || admission.accepts(elapsed(), timeLeft, longestResponse);
  }

  /** Returns true once the load balancer sends no new connections. */
  public boolean isLeftByBalancer() {
    return hasLasted(BALANCER_DELAY);
  }

  /** Returns true once the requests that are still running must be failed. */
  public boolean isGracePeriodOver() {
    return hasLasted(GRACE_PERIOD);
  }

  /** Returns true once the process must end even if responses are missing. */
  public boolean isOver() {
    return hasLasted(GRACE_PERIOD.plus(RESPONSE_PERIOD));
  }

  private boolean hasLasted(Duration time) {
    return isBegun && elapsed().compareTo(time) >= 0;
  }

  private Duration elapsed() {
    return Duration.ofNanos(timers.nowNanos() - beginNanos);
  }
}
