package org.amaranthstream.daemon;

import org.amaranthstream.dispatch.ServerFeedback;
import org.amaranthstream.membership.BackendServer;
import org.amaranthstream.membership.LeavingServer;
import org.amaranthstream.membership.LoadReport;
import org.amaranthstream.membership.MembershipTable;
import org.amaranthstream.time.TimerService;

/**
 * A receiver of feedback that marks draining backend servers as leaving in the membership table.
 * Used on the decision thread only.
 */
final class MembershipFeedback implements ServerFeedback {
  private final MembershipTable table;
  private final TimerService timers;

  MembershipFeedback(MembershipTable table, TimerService timers) {
    this.table = table;
    this.timers = timers;
  }

  @Override
  public void onDraining(BackendServer server) {
    table.local(server.pool()).stream()
        .filter(view -> view.server().id().equals(server.id()))
        .flatMap(view -> view.report().stream())
        .map(LoadReport::incarnation)
        .map(incarnation -> new LeavingServer(server.id(), incarnation))
        .forEach(leaving -> table.onServerLeaving(leaving, timers.nowNanos()));
  }
}
