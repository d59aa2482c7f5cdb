package org.amaranthstream.fleet;

import java.time.Duration;

/**
 * When the holder of a duty may act.
 *
 * @param startAfter the time between taking the duty and the first act
 * @param stopBefore the time before the possible end of the lease from which nothing is done
 */
public record DutyTiming(Duration startAfter, Duration stopBefore) {}
