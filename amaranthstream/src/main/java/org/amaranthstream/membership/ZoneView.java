package org.amaranthstream.membership;

import java.util.Optional;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.ids.WeightVersion;

/**
 * Aggregate of the servers of one pool in another availability zone.
 *
 * @param zone the zone
 * @param region its region
 * @param servers servers of the pool that take new work
 * @param running requests that they run
 * @param queued requests that wait in them or in the zone's entry VMs
 * @param slots requests that they can run at once
 * @param version the oldest weight version among them, empty if none is known
 * @param takenNanos monotonic time of this process when the aggregate was valid, in nanoseconds
 */
public record ZoneView(
    AvailabilityZoneId zone,
    RegionId region,
    int servers,
    int running,
    int queued,
    int slots,
    Optional<WeightVersion> version,
    long takenNanos) {}
