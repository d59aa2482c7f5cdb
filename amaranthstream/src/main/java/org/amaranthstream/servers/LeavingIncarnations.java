package org.amaranthstream.servers;

import java.util.LinkedHashSet;
import java.util.Set;
import org.amaranthstream.ids.BackendServerId;

/**
 * Memory of the incarnations of backend servers that are leaving.
 *
 * <p>Guards against a registration that is older than the announcement, or that appears again after
 * an outage of the store: it must not bring a leaving server back into use. Bounded, so that the
 * oldest incarnations are forgotten first. Not thread safe.
 */
final class LeavingIncarnations {
  private static final int MAX_INCARNATIONS = 4_096;

  private final Set<ServerIncarnation> incarnations = new LinkedHashSet<>();

  private record ServerIncarnation(BackendServerId server, long startMillis) {}

  /** Records an incarnation and returns true if it was not recorded yet. */
  boolean add(BackendServerId server, long startMillis) {
    boolean isAdded = incarnations.add(new ServerIncarnation(server, startMillis));
    if (incarnations.size() > MAX_INCARNATIONS) {
      incarnations.remove(incarnations.iterator().next());
    }
    return isAdded;
  }

  /** Returns true if the incarnation that wrote {@code registration} is leaving. */
  boolean contains(ServerRegistration registration) {
    return incarnations.contains(
        new ServerIncarnation(registration.id(), registration.startMillis()));
  }
}
