package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;
import static org.amaranthstream.jobs.JobRequestClassifier.Decision;
import static org.amaranthstream.jobs.JobRequestClassifier.Shape;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import org.amaranthstream.ids.RouteId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.routing.RequestLimits;
import org.amaranthstream.routing.Route;
import org.amaranthstream.routing.RouteKind;
import org.amaranthstream.routing.RoutingConfig;
import org.amaranthstream.routing.WeightedService;
import org.junit.jupiter.api.Test;

class JobRequestClassifierTest {
  private static final String HOST = "host";

  private static Route route(RouteKind kind, String prefix) {
    return Route.builder()
        .id(RouteId.of(kind.name().toLowerCase() + prefix.length()))
        .match(HOST, prefix)
        .kind(kind)
        .services(ImmutableList.of(new WeightedService(ServiceId.of("service"), 1)))
        .build();
  }

  /** Returns the decisions for the shapes in their order, for a path that matches "/" only. */
  private static List<Decision> decisions(Route... routes) {
    RoutingConfig config =
        RoutingConfig.of(
            1, ImmutableList.copyOf(routes), ImmutableList.of(), RequestLimits.defaults());
    List<Decision> decisions = new ArrayList<>();
    for (Shape shape : Shape.values()) {
      decisions.add(JobRequestClassifier.classify(config, HOST, "/v1/x", shape));
    }
    return decisions;
  }

  @Test
  void jobPathsOfHostWithBatchRouteAreJobCalls() {
    assertThat(decisions(route(RouteKind.BATCH, "/b/")))
        .containsExactly(Decision.JOB, Decision.JOB, Decision.BY_RECORD, Decision.CALL)
        .inOrder();
    assertThat(decisions(route(RouteKind.BATCH, "/b/"), route(RouteKind.IDEMPOTENT, "/")))
        .containsExactly(Decision.JOB, Decision.JOB, Decision.CALL, Decision.CALL)
        .inOrder();
  }

  @Test
  void recordDecidesOnceHostHasNoBatchRoute() {
    assertThat(decisions())
        .containsExactly(Decision.JOB, Decision.CALL, Decision.BY_RECORD, Decision.CALL)
        .inOrder();
    assertThat(decisions(route(RouteKind.IDEMPOTENT, "/")))
        .containsExactly(Decision.BY_RECORD, Decision.CALL, Decision.CALL, Decision.CALL)
        .inOrder();
  }
}
