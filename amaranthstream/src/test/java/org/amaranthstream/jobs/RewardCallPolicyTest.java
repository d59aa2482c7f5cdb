package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.amaranthstream.ids.RouteId;
import org.amaranthstream.routing.Route;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Decisions about reward calls, for a service that handles lookups as well. */
class RewardCallPolicyTest {

  private static Route route(int maxAttempts) {
    return Route.builder()
        .id(RouteId.of("reward"))
        .latencyObjective(Duration.ofMillis(200))
        .timeout(Duration.ofMillis(1_500))
        .maxAttempts(maxAttempts)
        .build();
  }

  @Nested
  class Concurrency {
    private ImmutableList<TrackedServer> servers(int... slots) {
      ServerDirectory directory = ServerDirectory.create(VirtualTimerService.create());
      for (int i = 0; i < slots.length; i++) {
        directory.onRegistration(SimulatedRewards.server("r" + i, slots[i]));
      }
      return directory.available(SimulatedRewards.SERVICE);
    }

    @Test
    void isHalfOfTheSlotsOfEachServer() {
      assertThat(RewardCallPolicy.maxConcurrent(servers(6, 7))).isEqualTo(6);
    }

    @Test
    void isAtLeastOneAtEachServer() {
      assertThat(RewardCallPolicy.maxConcurrent(servers(1, 1))).isEqualTo(2);
    }

    @Test
    void isZeroWithoutServer() {
      assertThat(RewardCallPolicy.maxConcurrent(servers())).isEqualTo(0);
    }
  }

  @Nested
  class Timeouts {
    @Test
    void doubleWithEachCallThatHadNoResponse() {
      assertThat(RewardCallPolicy.timeout(route(3), 0)).isEqualTo(Duration.ofMillis(400));
      assertThat(RewardCallPolicy.timeout(route(3), 1)).isEqualTo(Duration.ofMillis(800));
    }

    @Test
    void neverExceedTheTimeoutOfTheRoute() {
      assertThat(RewardCallPolicy.timeout(route(3), 50)).isEqualTo(Duration.ofMillis(1_500));
    }
  }

  @Nested
  class Failures {
    @Test
    void endAnItemOnlyWhenBothRoutesAllowIt() {
      assertThat(RewardCallPolicy.maxFailures(route(4), route(3))).isEqualTo(4);
      assertThat(RewardCallPolicy.maxFailures(route(2), route(3))).isEqualTo(3);
    }
  }
}
