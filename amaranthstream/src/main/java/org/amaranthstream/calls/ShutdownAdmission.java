package org.amaranthstream.calls;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.util.Optional;

/**
 * Decision whether a daemon that shuts down gracefully still accepts a request.
 *
 * <p>Made for requests that keep arriving during the whole grace period: from a load balancer that
 * has not reacted yet, and then on connections that callers have kept open. A request that is still
 * running at the end of the period gets no response, and its caller cannot know whether it ran. It
 * is therefore rejected at once, so that its caller can send it elsewhere, unless the rest of the
 * period is long enough. Immutable.
 */
public final class ShutdownAdmission {
  /** Responses take longer while the requests of a daemon that leaves move to the others. */
  private static final int RESPONSE_TIME_MARGIN = 4;

  private final Duration gracePeriod;
  private final Duration balancerDelay;

  private ShutdownAdmission(Duration gracePeriod, Duration balancerDelay) {
    this.gracePeriod = gracePeriod;
    this.balancerDelay = balancerDelay;
  }

  /**
   * Returns the decision for a shutdown.
   *
   * @param gracePeriod the time from the begin of the shutdown to the last response
   * @param balancerDelay the part of it in which the load balancer still sends new connections
   * @throws IllegalArgumentException if {@code balancerDelay} is longer than {@code gracePeriod}
   */
  public static ShutdownAdmission of(Duration gracePeriod, Duration balancerDelay) {
    checkArgument(
        balancerDelay.compareTo(gracePeriod) <= 0,
        "the balancer delay %s must not exceed the grace period %s",
        balancerDelay,
        gracePeriod);
    return new ShutdownAdmission(gracePeriod, balancerDelay);
  }

  /**
   * Returns true if the request is accepted: it ends within the grace period even if it uses all of
   * its time, or it arrives before the balancer has reacted and will probably end in time.
   *
   * @param elapsed the time since the begin of the shutdown
   * @param timeLeft the time after which the request times out
   * @param longestResponse the longest time that recent requests like it have taken, empty if there
   *     were none
   */
  public boolean accepts(Duration elapsed, Duration timeLeft, Optional<Duration> longestResponse) {
    Duration rest = gracePeriod.minus(elapsed);
    if (timeLeft.compareTo(rest) <= 0) {
      return true;
    }
    return elapsed.compareTo(balancerDelay) < 0
        && longestResponse
            .filter(time -> time.multipliedBy(RESPONSE_TIME_MARGIN).compareTo(rest) <= 0)
            .isPresent();
  }
}
