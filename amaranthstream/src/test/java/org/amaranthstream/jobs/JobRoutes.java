package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.RouteId;
import org.amaranthstream.routing.RequestLimits;
import org.amaranthstream.routing.Route;
import org.amaranthstream.routing.RouteKind;
import org.amaranthstream.routing.RoutingConfig;
import org.amaranthstream.routing.ServicePolicy;
import org.amaranthstream.routing.WeightedService;

/** Routes of the simulated jobs and of their reward calls. */
final class JobRoutes {
  static final String HOST = "host";
  static final String REWARD_HOST = "scores";
  private static final Duration ITEM_TIMEOUT = Duration.ofSeconds(40);

  private JobRoutes() {}

  /** Returns a configuration without any route. */
  static RoutingConfig withoutRoutes(long version) {
    return RoutingConfig.of(version, List.of(), List.of(), RequestLimits.defaults());
  }

  /** Returns a configuration whose engines serve two models, so that all parts may be in use. */
  static RoutingConfig config() {
    return config(1, ImmutableList.of(ModelId.of("m"), ModelId.of("other")));
  }

  /** Returns a configuration whose engines serve {@code models}. */
  static RoutingConfig config(long version, ImmutableList<ModelId> models) {
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
    ServicePolicy engines =
        new ServicePolicy(
            SimulatedServers.SERVICE, 100, models, Optional.empty(), Optional.empty());
    return RoutingConfig.of(
        version, List.of(route, rewardRoute), List.of(engines), RequestLimits.defaults());
  }
}
