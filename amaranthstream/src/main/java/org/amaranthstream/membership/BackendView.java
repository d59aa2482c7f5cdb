package org.amaranthstream.membership;

import java.util.Optional;

/**
 * State of a backend server in the local availability zone.
 *
 * @param server the server
 * @param report its latest load report, empty if none was received
 * @param leaving true if the VM list, the server itself or a peer says that it is leaving
 */
public record BackendView(BackendServer server, Optional<LoadReport> report, boolean leaving) {}
