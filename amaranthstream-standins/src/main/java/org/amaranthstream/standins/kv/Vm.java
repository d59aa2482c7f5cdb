package org.amaranthstream.standins.kv;

import org.jspecify.annotations.Nullable;

/**
 * One VM of the platform's list.
 *
 * @param name the VM's name
 * @param kind {@code ENTRY} or {@code BACKEND}
 * @param region the region
 * @param zone the availability zone
 * @param host the IP number
 * @param port the port
 * @param pool the pool of a backend server
 * @param leaving whether the VM leaves
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
