package org.amaranthstream.standins.kv;

import org.jspecify.annotations.Nullable;

/**
 * Entry of the platform's list of VMs.
 *
 * @param name the VM's name
 * @param kind {@code ENTRY} or {@code BACKEND}
 * @param region the region
 * @param zone the availability zone
 * @param host the IP address
 * @param port the port
 * @param pool the pool of a backend server; null for an entry VM
 * @param leaving whether the VM is leaving
 */
public record Vm(
    String name,
    String kind,
    String region,
    String zone,
    String host,
    int port,
    @Nullable String pool,
    boolean leaving) {}
