package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import org.amaranthstream.ids.RouteId;
import org.amaranthstream.routing.RequestLimits;
import org.amaranthstream.routing.Route;
import org.amaranthstream.routing.RouteKind;
import org.amaranthstream.routing.RoutingConfig;
import org.amaranthstream.routing.WeightedService;

/** Routes of the simulated jobs and of their reward calls. */
final class JobRoutes {
  static final String HOST = "host";
  static final String REWARD_HOST = "scores";
  private static final Duration ITEM_TIMEOUT = Duration.ofSeconds(40);

  private JobRoutes() {}

  static RoutingConfig config() {
    Route route =
        Route.builder()
            .id(RouteId.of("batch"))
            .match(HOST, "/")
            .kind(RouteKind.BATCH)
            .maxAttempts(3)
            .itemTimeout(ITEM_TIMEOUT)
            .services(ImmutableList.of(new WeightedService(SimulatedServers.SERVICE, 1)))
            .build();
    Route rewardRoute =
        Route.builder()
            .id(RouteId.of("reward"))
            .match(REWARD_HOST, "/")
            .kind(RouteKind.IDEMPOTENT)
            .maxAttempts(3)
            .latencyObjective(SimulatedRewards.LATENCY_OBJECTIVE)
            .timeout(SimulatedRewards.ROUTE_TIMEOUT)
            .services(ImmutableList.of(new WeightedService(SimulatedRewards.SERVICE, 1)))
            .build();
    return RoutingConfig.of(1, List.of(route, rewardRoute), List.of(), RequestLimits.defaults());
  }
}
