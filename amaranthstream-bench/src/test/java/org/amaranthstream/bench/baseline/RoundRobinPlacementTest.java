package org.amaranthstream.bench.baseline;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.placement.Candidate;
import org.amaranthstream.placement.Locality;
import org.amaranthstream.placement.PlacementDecision;
import org.junit.jupiter.api.Test;

final class RoundRobinPlacementTest {
  private static final Candidate FIRST = server("a", 0);
  private static final Candidate SECOND = server("b", 0);
  private static final Candidate FULL = server("c", 4);
  private static final Candidate OTHER_ZONE =
      new Candidate.Zone(AvailabilityZoneId.of("z"), Locality.SAME_REGION, 0, 4);

  private final RoundRobinPlacement placement = new RoundRobinPlacement();

  @Test
  void rotatesThroughServersWithCapacity() {
    ImmutableList<Candidate> candidates = ImmutableList.of(FIRST, SECOND, FULL, OTHER_ZONE);
    assertThat(ImmutableList.of(place(candidates), place(candidates)))
        .containsExactly(FIRST, SECOND);
  }

  @Test
  void selectsAnotherZoneWhenTheOwnZoneIsFull() {
    assertThat(place(ImmutableList.of(FULL, OTHER_ZONE))).isEqualTo(OTHER_ZONE);
  }

  @Test
  void returnsNoCapacityWhenAllCandidatesAreFull() {
    assertThat(placement.place(Optional.empty(), ImmutableList.of(FULL)))
        .isInstanceOf(PlacementDecision.NoCapacity.class);
  }

  private Candidate place(ImmutableList<Candidate> candidates) {
    return ((PlacementDecision.Place) placement.place(Optional.empty(), candidates)).candidate();
  }

  private static Candidate server(String name, int load) {
    return new Candidate.Server(BackendServerId.of(name), load, 4);
  }
}
