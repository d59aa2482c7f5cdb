package org.amaranthstream.fleet;

import java.time.Duration;

/**
 * When the holder of a duty may act.
 *
 * @param startAfter the time between taking the duty from a holder that did not release it and the
 *     first act
 * @param stopBefore the time before the possible end of the lease from which nothing is done
 * @param betweenHolders the time that must lie between the acts of two holders
 */
public record DutyTiming(Duration startAfter, Duration stopBefore, Duration betweenHolders) {

  /**
   * Returns the timing for a duty under a session's lease.
   *
   * @param turn the time within which acts of two holders are not allowed
   */
  public static DutyTiming of(Duration turn) {
    Duration between = turn.plus(MARGIN);
    Duration longestAct = FleetSession.TTL.minus(STOP_BEFORE);
    return new DutyTiming(longestAct.plus(between), STOP_BEFORE, between);
  }

  private static final Duration STOP_BEFORE = Duration.ofMillis(1_200);

  /** Acts take some time to arrive. */
  private static final Duration MARGIN = Duration.ofMillis(400);
}
