package org.amaranthstream.platform;

import java.time.Duration;
import org.amaranthstream.ids.LeaseId;

/**
 * A lease that the store granted.
 *
 * @param id the name of the lease
 * @param ttl the time to live that the store applies
 */
public record GrantedLease(LeaseId id, Duration ttl) {}
