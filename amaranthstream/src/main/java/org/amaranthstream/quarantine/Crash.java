package org.amaranthstream.quarantine;

import java.util.Optional;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.Incarnation;

/**
 * Crash of one incarnation of a backend server.
 *
 * @param server the server that crashed
 * @param incarnation the incarnation that crashed; empty if it is not known
 */
public record Crash(BackendServerId server, Optional<Incarnation> incarnation) {}
