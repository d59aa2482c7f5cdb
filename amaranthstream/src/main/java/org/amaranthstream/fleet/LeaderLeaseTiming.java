package org.amaranthstream.fleet;

import java.time.Duration;

/**
 * The delays that keep the acts of two successive lease holders apart.
 *
 * @param firstActDelay the delay between acquiring the lease from a holder that did not release it
 *     and the first act
 * @param expiryMargin how long before the earliest possible expiry of the session lease the holder
 *     stops acting
 * @param handoverGap the minimum time between the last act of one holder and the first act of the
 *     next
 */
public record LeaderLeaseTiming(
    Duration firstActDelay, Duration expiryMargin, Duration handoverGap) {

  /**
   * Returns the timing of a leader lease that depends on the lease of a {@link FleetSession}.
   *
   * @param minGap the time by which acts of two holders must be apart when they take effect
   */
  public static LeaderLeaseTiming of(Duration minGap) {
    Duration handoverGap = minGap.plus(ARRIVAL_MARGIN);
    Duration latestAct = FleetSession.TTL.minus(EXPIRY_MARGIN);
    return new LeaderLeaseTiming(latestAct.plus(handoverGap), EXPIRY_MARGIN, handoverGap);
  }

  private static final Duration EXPIRY_MARGIN = Duration.ofMillis(1_200);

  /** Allowance for the time that an act takes to arrive. */
  private static final Duration ARRIVAL_MARGIN = Duration.ofMillis(400);
}
