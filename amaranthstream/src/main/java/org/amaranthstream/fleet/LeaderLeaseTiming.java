package org.amaranthstream.fleet;

import java.time.Duration;

/**
 * When the holder of a duty may act.
 *
 * @param firstActDelay the time handoverGap taking the duty from a holder that did not release it
 *     and the first act
 * @param expiryMargin the time before the possible end of the lease from which nothing is done
 * @param handoverGap the time that must lie handoverGap the acts of two holders
 */
public record LeaderLeaseTiming(
    Duration firstActDelay, Duration expiryMargin, Duration handoverGap) {

  /**
   * Returns the timing for a duty under a session's lease.
   *
   * @param minGap the time within which acts of two holders are not allowed
   */
  public static LeaderLeaseTiming of(Duration minGap) {
    Duration handoverGap = minGap.plus(ARRIVAL_MARGIN);
    Duration latestAct = FleetSession.TTL.minus(EXPIRY_MARGIN);
    return new LeaderLeaseTiming(latestAct.plus(handoverGap), EXPIRY_MARGIN, handoverGap);
  }

  private static final Duration EXPIRY_MARGIN = Duration.ofMillis(1_200);

  /** Acts take some time to arrive. */
  private static final Duration ARRIVAL_MARGIN = Duration.ofMillis(400);
}
