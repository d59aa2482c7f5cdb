package org.amaranthstream.calls;

import com.google.common.collect.ImmutableSet;
import org.amaranthstream.ids.BackendServerId;

/**
 * Call that one daemon sends to another, which forwards it to a server.
 *
 * @param call the call
 * @param maxAttempts the number of servers to which the peer may send it
 * @param isOwed true if the call is owed a response whatever happened to the servers that ran it
 * @param permittedServers the servers to which the peer may send it; any if there are none
 */
public record RelayedCall(
    OutboundCall call,
    int maxAttempts,
    boolean isOwed,
    ImmutableSet<BackendServerId> permittedServers) {}
