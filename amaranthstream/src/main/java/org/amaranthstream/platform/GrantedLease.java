package org.amaranthstream.platform;

import java.time.Duration;
import org.amaranthstream.ids.LeaseId;

/**
 * A lease granted by the store.
 *
 * @param id the id of the lease
 * @param ttl the time to live that the store applies, which may differ from the requested one
 */
public record GrantedLease(LeaseId id, Duration ttl) {}
