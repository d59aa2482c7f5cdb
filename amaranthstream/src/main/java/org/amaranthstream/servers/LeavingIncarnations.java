package org.amaranthstream.servers;

import java.util.LinkedHashMap;
import java.util.Map;
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

  private final Map<BackendServerId, Long> startMillis =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<BackendServerId, Long> eldest) {
          return size() > MAX_INCARNATIONS;
        }
      };

  /** Records an incarnation and returns true if it was not recorded yet. */
  boolean add(BackendServerId server, long started) {
    Long previous = startMillis.put(server, started);
    return previous == null || previous != started;
  }

  /** Returns true if the incarnation that wrote {@code registration} is leaving. */
  boolean contains(ServerRegistration registration) {
    Long started = startMillis.get(registration.id());
    return started != null && started == registration.startMillis();
  }
}
