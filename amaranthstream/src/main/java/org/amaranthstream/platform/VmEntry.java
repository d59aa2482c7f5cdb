package org.amaranthstream.platform;

import java.util.Optional;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RegionId;

/**
 * One VM of the platform's list.
 *
 * @param name the VM's name: an entry VM id or a backend server id
 * @param kind what the VM is
 * @param region the VM's region
 * @param zone the VM's availability zone
 * @param host the IP number to reach it under
 * @param port the port of its HTTP server, or of its peer link for an entry VM
 * @param pool the pool of a backend server, empty for an entry VM
 * @param leaving true once the platform has announced that the VM leaves
 */
public record VmEntry(
    String name,
    VmKind kind,
    RegionId region,
    AvailabilityZoneId zone,
    String host,
    int port,
    Optional<PoolId> pool,
    boolean leaving) {}
