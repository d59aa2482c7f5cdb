package org.amaranthstream.membership;

import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.Incarnation;

/**
 * An incarnation of a backend server that is leaving: it accepts no new work and will exit.
 *
 * @param server the server
 * @param incarnation the leaving incarnation
 */
public record LeavingServer(BackendServerId server, Incarnation incarnation) {}
