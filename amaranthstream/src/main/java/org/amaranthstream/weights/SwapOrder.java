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
 * <p>Pure. Answers the load pattern of a trainer that allows samples of the last two versions and
 * asks for a step with each version that it names: an engine is brought to a version while the
 * version before it is still allowed, so that the next step finds most engines usable. An engine
 * with a version that is not allowed any more idles, so it comes first.
 */
final class SwapOrder {
  private SwapOrder() {}

  /** Returns the engine to swap next, of those that {@code isFree}. */
  static Optional<TrackedServer> next(
      Collection<TrackedServer> servers,
      ModelId model,
      WeightVersion newest,
      Predicate<TrackedServer> isFree) {
    Comparator<TrackedServer> order =
        Comparator.comparing((TrackedServer server) -> versionOf(server, model))
            .thenComparing(TrackedServer::load);
    List<TrackedServer> old =
        servers.stream()
            .filter(server -> server.isOpen() && server.holds(model))
            .filter(server -> newest.isAfter(versionOf(server, model)))
            .filter(isFree)
            .toList();
    return old.stream().min(order);
  }

  private static WeightVersion versionOf(TrackedServer server, ModelId model) {
    return server.version(model).orElse(WeightVersion.of(0));
  }
}
