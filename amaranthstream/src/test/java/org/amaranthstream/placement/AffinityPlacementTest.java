package org.amaranthstream.placement;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.Random;
import org.amaranthstream.ids.AffinityKey;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.junit.jupiter.api.Test;

class AffinityPlacementTest {
  private static final Optional<AffinityKey> KEY = Optional.of(AffinityKey.of("group-1"));

  private final AffinityPlacement policy = AffinityPlacement.create(new Random(1));

  private static Candidate server(String name, int load, int limit) {
    return new Candidate.Server(BackendServerId.of(name), load, limit);
  }

  private static Candidate zone(String name, Locality locality) {
    return new Candidate.Zone(AvailabilityZoneId.of(name), locality, 0, 8);
  }

  private Candidate place(Optional<AffinityKey> key, Candidate... candidates) {
    PlacementDecision decision = policy.place(key, ImmutableList.copyOf(candidates));
    return ((PlacementDecision.Place) decision).candidate();
  }

  @Test
  void choosesLessLoadedOfTwo() {
    assertThat(place(Optional.empty(), server("e1", 3, 4), server("e2", 1, 4)))
        .isEqualTo(server("e2", 1, 4));
  }

  @Test
  void comparesSharesOfLimits() {
    assertThat(place(Optional.empty(), server("e1", 3, 8), server("e2", 2, 4)))
        .isEqualTo(server("e1", 3, 8));
  }

  @Test
  void keepsOneKeyOnOneServer() {
    Candidate first = place(KEY, server("e1", 0, 8), server("e2", 0, 8), server("e3", 0, 8));
    for (int i = 0; i < 20; i++) {
      assertThat(place(KEY, server("e1", 0, 8), server("e2", 0, 8), server("e3", 0, 8)))
          .isEqualTo(first);
    }
  }

  @Test
  void choosesAnotherServerAboveTheBound() {
    Candidate first = place(KEY, server("e1", 0, 8), server("e2", 0, 8));
    String name = ((Candidate.Server) first).server().value();
    String other = name.equals("e1") ? "e2" : "e1";

    assertThat(place(KEY, server(name, 7, 8), server(other, 0, 8))).isEqualTo(server(other, 0, 8));
  }

  @Test
  void choosesNearestWithCapacity() {
    Candidate sameRegion = zone("lisboa-b", Locality.SAME_REGION);
    Candidate otherRegion = zone("porto-a", Locality.OTHER_REGION);

    assertThat(place(KEY, otherRegion, sameRegion, server("e1", 0, 1)))
        .isEqualTo(server("e1", 0, 1));
    assertThat(place(KEY, otherRegion, sameRegion, server("e1", 1, 1))).isEqualTo(sameRegion);
  }

  @Test
  void findsNoCapacityWhenAllAreFull() {
    assertThat(policy.place(KEY, ImmutableList.of(server("e1", 1, 1))))
        .isInstanceOf(PlacementDecision.NoCapacity.class);
  }

  @Test
  void refillsTheLinkBudgetAtItsRate() {
    TokenBucketLinkBudget budget = TokenBucketLinkBudget.create(100, 50, 0);
    budget.spend(50, 0);

    assertThat(budget.allows(10, 99_000_000)).isFalse();
    assertThat(budget.allows(10, 100_000_000)).isTrue();
    assertThat(budget.allows(51, 9_000_000_000L)).isFalse();
  }
}
