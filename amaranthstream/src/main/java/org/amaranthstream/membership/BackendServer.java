package org.amaranthstream.membership;

import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RegionId;

/**
 * A backend server and its address.
 *
 * @param id the name
 * @param pool the pool that it belongs to
 * @param region its region
 * @param zone its availability zone
 * @param host its IP address
 * @param port the port of its HTTP server
 */
public record BackendServer(
    BackendServerId id,
    PoolId pool,
    RegionId region,
    AvailabilityZoneId zone,
    String host,
    int port) {}
