package org.amaranthstream.platform;

import java.util.Optional;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RegionId;

/**
 * An entry of the platform's VM list.
 *
 * @param name the name of the VM: an entry VM id or a backend server id
 * @param kind the kind of VM
 * @param region the region of the VM
 * @param zone the availability zone of the VM
 * @param host the IP address of the VM
 * @param port the port of its HTTP server, or of its peer link for an entry VM
 * @param pool the pool of a backend server, empty for an entry VM
 * @param leaving true once the platform has announced that the VM will be removed
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
