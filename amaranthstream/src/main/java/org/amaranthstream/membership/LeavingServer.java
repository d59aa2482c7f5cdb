package org.amaranthstream.membership;

import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.Incarnation;

/**
 * An incarnation of a backend server that leaves.
 *
 * @param server the server
 * @param incarnation the incarnation that leaves
 */
public record LeavingServer(BackendServerId server, Incarnation incarnation) {}
