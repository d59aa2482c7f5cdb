package org.amaranthstream.bench.baseline;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.amaranthstream.ids.AffinityKey;
import org.amaranthstream.placement.Candidate;
import org.amaranthstream.placement.PlacementDecision;
import org.amaranthstream.placement.PlacementPolicy;

/**
 * Placement policy for comparison that selects the candidates in rotation, regardless of their
 * load, and skips those without capacity. Not thread safe.
 */
public final class RoundRobinPlacement implements PlacementPolicy {
  private int next;

  @Override
  public PlacementDecision place(
      Optional<AffinityKey> affinity, ImmutableList<Candidate> candidates) {
    for (int i = 0; i < candidates.size(); i++) {
      Candidate candidate = candidates.get((next + i) % candidates.size());
      if (candidate.hasCapacity()) {
        next = (next + i + 1) % candidates.size();
        return new PlacementDecision.Place(candidate, "next candidate in rotation");
      }
    }
    return new PlacementDecision.NoCapacity("all candidates are full");
  }
}
