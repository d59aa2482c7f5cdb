package org.amaranthstream.membership;

import java.util.Optional;

/**
 * What is known about a backend server of the own availability zone.
 *
 * @param server the server
 * @param report its newest load report, empty if there is none yet
 * @param leaving true if the platform's list, the server itself or a peer says that it leaves
 */
public record BackendView(BackendServer server, Optional<LoadReport> report, boolean leaving) {}
