package org.amaranthstream.weights;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.servers.TrackedServer;

/**
 * Chooses which engine loads the newest version next: the one with the oldest version, and of those
 * the one with the least work.
 *
 * <p>Pure. Answers the load pattern of a trainer that allows samples of the last two versions: an
 * engine with an older one idles until it is swapped, so it comes first; one whose version is still
 * allowed goes on working, so that each engine loads only every second version.
 */
final class SwapOrder {
  private SwapOrder() {}

  /** Returns the engine to swap next, of those that {@code isFree}. */
  static Optional<TrackedServer> next(
      Collection<TrackedServer> servers,
      ModelId model,
      WeightVersion oldestUseful,
      Predicate<TrackedServer> isFree) {
    Comparator<TrackedServer> order =
        Comparator.comparing((TrackedServer server) -> versionOf(server, model))
            .thenComparing(TrackedServer::load);
    List<TrackedServer> old =
        servers.stream()
            .filter(server -> server.isOpen() && server.holds(model))
            .filter(server -> oldestUseful.isAfter(versionOf(server, model)))
            .filter(isFree)
            .toList();
    return old.stream().min(order);
  }

  private static WeightVersion versionOf(TrackedServer server, ModelId model) {
    return server.version(model).orElse(WeightVersion.of(0));
  }
}
