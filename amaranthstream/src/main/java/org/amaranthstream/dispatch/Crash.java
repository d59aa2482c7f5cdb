package org.amaranthstream.dispatch;

import java.util.Optional;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.Incarnation;

/**
 * The end of one incarnation of a backend server.
 *
 * @param server the server
 * @param incarnation its incarnation, empty if it was not known
 */
public record Crash(BackendServerId server, Optional<Incarnation> incarnation) {}
