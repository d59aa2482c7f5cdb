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
 * Order in which engines load the newest version of their model: the engine that is the most
 * versions behind first, and among equals the one with the least load.
 *
 * <p>Pure. A trainer allows samples of the last two versions and requests a step with each version
 * that it announces. An engine therefore loads a version while the previous one is still allowed,
 * so that most engines can serve the next step. An engine whose version is no longer allowed is
 * idle, so it loads first.
 */
final class SwapPriority {
  private SwapPriority() {}

  /**
   * Returns the engine to swap next among those that match {@code isFree}, empty if none is behind.
   */
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
