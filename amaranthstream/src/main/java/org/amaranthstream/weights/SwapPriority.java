package org.amaranthstream.weights;

import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.servers.TrackedServer;

/**
 * Chooses which engine loads the newest version of its model next: the one that is the most
 * versions behind, and of those the one with the least work.
 *
 * <p>Pure. Answers the load pattern of a trainer that allows samples of the last two versions and
 * asks for a step with each version that it names: an engine is brought to a version while the
 * version before it is still allowed, so that the next step finds most engines usable. An engine
 * with a version that is not allowed any more idles, so it comes first.
 */
final class SwapPriority {
  private SwapPriority() {}

  /** Returns the engine to swap next, of those that {@code isFree}. */
  static Optional<TrackedServer> nextEngine(
      Collection<TrackedServer> engines,
      EngineAssignment assignment,
      Map<ModelId, WeightVersion> newest,
      Predicate<TrackedServer> isFree) {
    Comparator<TrackedServer> order =
        Comparator.comparingLong(
                (TrackedServer engine) -> -versionsBehind(engine, assignment, newest))
            .thenComparing(TrackedServer::load);
    return engines.stream()
        .filter(isFree)
        .filter(engine -> versionsBehind(engine, assignment, newest) > 0)
        .min(order);
  }

  private static long versionsBehind(
      TrackedServer engine, EngineAssignment assignment, Map<ModelId, WeightVersion> newest) {
    return assignment
        .modelOf(engine)
        .map(m -> EngineAssignment.versionsBehind(engine, m, newest))
        .orElse(0L);
  }
}
