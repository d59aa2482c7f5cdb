package org.amaranthstream.scaling;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.routing.ScalingPolicy;
import org.junit.jupiter.api.Test;

class ServerAllocationTest {
  private static final AvailabilityZoneId A = AvailabilityZoneId.of("a");
  private static final AvailabilityZoneId B = AvailabilityZoneId.of("b");
  private static final ServerGroup SPOT_A = new ServerGroup(A, ServerKind.RECLAIMABLE);
  private static final ServerGroup SPOT_B = new ServerGroup(B, ServerKind.RECLAIMABLE);
  private static final ServerGroup REGULAR_A = new ServerGroup(A, ServerKind.REGULAR);
  private static final ServerGroup REGULAR_B = new ServerGroup(B, ServerKind.REGULAR);

  private static ScalingPolicy policy(int min, int max, double share, double priceOfB) {
    return new ScalingPolicy(
        min,
        max,
        Duration.ofSeconds(4),
        OptionalDouble.of(share),
        ImmutableMap.of(A, 1.0, B, priceOfB));
  }

  /** Returns the cost of the cheapest allocation, found by trying all. */
  private static double leastCost(ScalingPolicy policy, int required) {
    ServerAllocation prices = ServerAllocation.of(policy, ImmutableSet.of());
    int max = policy.maxServers();
    double least = Double.MAX_VALUE;
    for (int spotA = 0; spotA <= max; spotA++) {
      for (int regularA = 0; spotA + regularA <= max; regularA++) {
        for (int spotB = 0; spotB <= max; spotB++) {
          for (int regularB = 0; spotB + regularB <= max; regularB++) {
            ImmutableMap<ServerGroup, Integer> counts =
                ImmutableMap.of(
                    SPOT_A, spotA, REGULAR_A, regularA, SPOT_B, spotB, REGULAR_B, regularB);
            boolean isAllowed =
                spotA + regularA >= policy.minServers()
                    && spotB + regularB >= policy.minServers()
                    && ServerAllocation.leftAfterReclaim(counts) >= required;
            if (isAllowed) {
              least = Math.min(least, prices.cost(counts));
            }
          }
        }
      }
    }
    return least;
  }

  @Test
  void isTheCheapestOfAll() {
    for (double share : new double[] {0.1, 0.5, 0.9}) {
      for (double priceOfB : new double[] {0.8, 1.0, 3.0}) {
        for (int min = 0; min <= 2; min++) {
          for (int required = 0; required <= 5; required++) {
            ScalingPolicy policy = policy(min, 4, share, priceOfB);
            ServerAllocation allocation = ServerAllocation.of(policy, ImmutableSet.of());
            ImmutableMap<ServerGroup, Integer> found =
                allocation.cheapest(required, ImmutableMap.of());
            assertThat(ServerAllocation.leftAfterReclaim(found)).isAtLeast(required);
            assertWithMessage("%s for %s of %s", found, required, policy)
                .that(allocation.cost(found))
                .isWithin(1e-9)
                .of(leastCost(policy, required));
          }
        }
      }
    }
  }

  @Test
  void leavesTheMostIfTheBoundsAllowTooFew() {
    ServerAllocation allocation = ServerAllocation.of(policy(0, 3, 0.2, 1), ImmutableSet.of());

    assertThat(ServerAllocation.leftAfterReclaim(allocation.cheapest(100, ImmutableMap.of())))
        .isEqualTo(6);
  }

  @Test
  void ordersNoMoreOfUnavailableGroups() {
    ServerAllocation allocation =
        ServerAllocation.of(policy(0, 4, 0.2, 1), ImmutableSet.of(SPOT_A));
    ImmutableMap<ServerGroup, Integer> found = allocation.cheapest(4, ImmutableMap.of(SPOT_A, 1));

    assertThat(found.get(SPOT_A)).isEqualTo(1);
    assertThat(ServerAllocation.leftAfterReclaim(found)).isAtLeast(4);
  }

  @Test
  void workThatIsDueSoonNeedsMoreServersForTheSpanAfterTheBoot() {
    ExpectedWork work =
        new ExpectedWork(Duration.ofSeconds(40), Duration.ZERO, Duration.ofSeconds(8));

    // Two servers do 8 s of it while others boot, and 32 s are left for 4 s.
    assertThat(RequiredServers.of(List.of(work), 2, Duration.ofSeconds(4))).isEqualTo(8);
    assertThat(RequiredServers.of(List.of(work), 5, Duration.ofSeconds(4))).isEqualTo(5);
  }
}
