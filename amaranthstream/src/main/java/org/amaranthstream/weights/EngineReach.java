package org.amaranthstream.weights;

import java.util.Collection;
import java.util.function.Predicate;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.servers.TrackedServer;

/**
 * Decision whether a daemon can order engines to load weights.
 *
 * <p>Made for a leader that is partitioned from all engines: its lease is renewed in the store, so
 * that no other daemon orders the engines, and every trainer waits for the next version. The method
 * is a pure function.
 */
public final class EngineReach {
  private EngineReach() {}

  /**
   * Returns true unless all engines belong to services that this daemon does not reach.
   *
   * @param servers the registered servers; those that report no model are ignored
   * @param isLost returns true if no server of a service is reached
   */
  public static boolean reachesEngines(
      Collection<TrackedServer> servers, Predicate<ServiceId> isLost) {
    boolean hasEngines = servers.stream().anyMatch(EngineReach::isEngine);
    return !hasEngines
        || servers.stream()
            .filter(EngineReach::isEngine)
            .anyMatch(engine -> !isLost.test(engine.registration().service()));
  }

  private static boolean isEngine(TrackedServer server) {
    return !server.registration().versions().isEmpty();
  }
}
