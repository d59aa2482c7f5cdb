package org.amaranthstream.membership;

import java.util.Optional;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.ids.WeightVersion;

/**
 * Aggregated load of the servers of one pool in one availability zone.
 *
 * @param zone the zone
 * @param region its region
 * @param servers number of servers of the pool that accept new work
 * @param running number of requests that they run
 * @param queued number of requests queued in them or in the zone's entry VMs
 * @param slots number of requests that they can run concurrently
 * @param version the oldest weight version among them, empty if none is known
 * @param takenNanos local monotonic time at which the aggregate was valid, in nanoseconds
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
