package org.amaranthstream.placement;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.amaranthstream.ids.AffinityKey;

/**
 * Policy that chooses where a request runs. Pure except for a random source given at construction.
 */
@FunctionalInterface
public interface PlacementPolicy {

  /**
   * Chooses among candidates that may all run the request.
   *
   * @param affinity the key that requests with a common prompt prefix share
   * @param candidates servers of the local zone and aggregates of other zones
   */
  PlacementDecision place(Optional<AffinityKey> affinity, ImmutableList<Candidate> candidates);
}
