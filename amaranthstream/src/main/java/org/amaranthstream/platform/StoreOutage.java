package org.amaranthstream.platform;

import java.time.Duration;
import java.util.Optional;

/**
 * The last outage of the store, as the calls of this process show it.
 *
 * @param length the time from the last response before the outage to the first one after it, or to
 *     now; an upper bound of the time for which the store was unavailable
 * @param sinceEnd the time since the first response after the outage, empty while it lasts
 */
public record StoreOutage(Duration length, Optional<Duration> sinceEnd) {}
