package org.amaranthstream.bench.decisions;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.dispatch.AttemptListener;
import org.amaranthstream.dispatch.BackendTransport;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.ids.AttemptId;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.membership.BackendDirectory;
import org.amaranthstream.membership.BackendServer;
import org.amaranthstream.membership.BackendView;
import org.amaranthstream.membership.ZoneView;
import org.amaranthstream.time.VirtualTimerService;

/** Simulated servers of one pool whose load reports arrive with a lag. Not thread safe. */
final class SimulatedPool implements BackendTransport, BackendDirectory {
  static final PoolId POOL = PoolId.of("coding");
  static final RegionId REGION = RegionId.of("lisboa");
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(500);

  final List<SimulatedServer> servers = new ArrayList<>();
  private final Deque<ImmutableList<BackendView>> pendingViews = new ArrayDeque<>();
  private final int lagIntervals;
  private final VirtualTimerService timers;
  private ImmutableList<BackendView> visibleViews;

  SimulatedPool(VirtualTimerService timers, SimulatedPoolSettings settings, long seed) {
    this.timers = timers;
    this.lagIntervals = (int) (settings.reportLagMillis() / REPORT_INTERVAL.toMillis());
    for (int i = 0; i < settings.servers(); i++) {
      servers.add(new SimulatedServer(newServer(i), timers, settings, seed * 31 + i));
    }
    visibleViews = views();
    timers.every(REPORT_INTERVAL, this::publishReport);
  }

  private static BackendServer newServer(int index) {
    return new BackendServer(
        BackendServerId.of("engine-" + index),
        POOL,
        REGION,
        AvailabilityZoneId.of("lisboa-a"),
        "127.0.0.1",
        8000 + index);
  }

  private ImmutableList<BackendView> views() {
    return servers.stream()
        .map(s -> new BackendView(s.server, Optional.of(s.report()), false))
        .collect(ImmutableList.toImmutableList());
  }

  private void publishReport() {
    pendingViews.addLast(views());
    if (pendingViews.size() > lagIntervals) {
      visibleViews = pendingViews.removeFirst();
    }
  }

  @Override
  public Attempt start(
      BackendServer server,
      AttemptId id,
      Work work,
      long offset,
      String prefix,
      AttemptListener listener) {
    SimulatedServer target =
        servers.stream().filter(s -> s.server.id().equals(server.id())).findFirst().orElseThrow();
    SimulatedAttempt attempt = new SimulatedAttempt(work, offset, listener, target);
    timers.after(Duration.ZERO, () -> target.start(attempt));
    return attempt;
  }

  @Override
  public ImmutableList<BackendView> local(PoolId pool) {
    return pool.equals(POOL) ? visibleViews : ImmutableList.of();
  }

  @Override
  public ImmutableList<ZoneView> remote(PoolId pool) {
    return ImmutableList.of();
  }
}
