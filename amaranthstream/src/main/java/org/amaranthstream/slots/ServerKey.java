package org.amaranthstream.slots;

import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.servers.ServerRegistration;
import org.amaranthstream.servers.TrackedServer;

/**
 * Identity of one incarnation of a backend server.
 *
 * @param id the id of the server
 * @param startMillis the start time of the incarnation, in Unix milliseconds
 */
public record ServerKey(BackendServerId id, long startMillis) {

  /** Returns the key of the incarnation that {@code server} tracks. */
  public static ServerKey of(TrackedServer server) {
    ServerRegistration registration = server.registration();
    return new ServerKey(registration.id(), registration.startMillis());
  }
}
