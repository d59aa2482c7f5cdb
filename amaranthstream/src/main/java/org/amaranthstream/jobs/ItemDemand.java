package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.WorkspaceId;
import org.amaranthstream.routing.Route;
import org.amaranthstream.routing.WeightedService;
import org.amaranthstream.slots.SlotDemand;

/** Demand of a job for slots of servers. The method depends only on its arguments. */
final class ItemDemand {
  private ItemDemand() {}

  /**
   * Returns the demand of {@code job}.
   *
   * @param route the route of the job
   * @param workspace the workspace that submitted the job, empty if it is unknown; jobs of unknown
   *     workspaces share by their models
   */
  static SlotDemand of(OwnedJob job, Route route, Optional<WorkspaceId> workspace, long nowNanos) {
    int running = 0;
    int waiting = 0;
    for (ItemProgress item : job.items()) {
      if (item.runner().isPresent()) {
        running++;
      } else if (item.isReady(ItemStage.GENERATE, nowNanos)) {
        waiting++;
      }
    }
    return new SlotDemand(
        workspace.map(WorkspaceId::value).orElse(job.spec().model().value()),
        route.priority(),
        services(route),
        job.spec().model(),
        job.spec().minVersion(),
        running,
        waiting,
        job.age(nowNanos).compareTo(route.runObjective()) > 0);
  }

  private static ImmutableSet<ServiceId> services(Route route) {
    return route.services().stream()
        .filter(service -> service.weight() > 0)
        .map(WeightedService::service)
        .collect(ImmutableSet.toImmutableSet());
  }
}
