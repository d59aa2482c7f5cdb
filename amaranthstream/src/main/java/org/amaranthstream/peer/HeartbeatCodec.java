package org.amaranthstream.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.membership.LeavingServer;
import org.amaranthstream.membership.LoadReport;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.membership.PeerHeartbeat;
import org.amaranthstream.membership.PoolZoneView;
import org.amaranthstream.membership.RelayedReport;
import org.amaranthstream.membership.VmPhase;
import org.amaranthstream.membership.ZoneView;
import org.amaranthstream.peer.wire.Heartbeat;
import org.amaranthstream.peer.wire.Phase;
import org.amaranthstream.peer.wire.PoolQueue;
import org.amaranthstream.peer.wire.Report;
import org.amaranthstream.peer.wire.ZoneAggregate;

/**
 * Codec of the membership part of heartbeats. Points in time are sent as ages and decoded relative
 * to the local clock.
 */
final class HeartbeatCodec {
  private HeartbeatCodec() {}

  static Phase encodePhase(VmPhase phase) {
    return phase == VmPhase.LEAVING ? Phase.LEAVING : Phase.READY;
  }

  static VmPhase decodePhase(Phase phase) {
    return phase == Phase.LEAVING ? VmPhase.LEAVING : VmPhase.READY;
  }

  static Report encodeReport(RelayedReport relayed, long nowNanos) {
    LoadReport report = relayed.report();
    Report.Builder builder =
        Report.newBuilder()
            .setServer(relayed.server().value())
            .setIncarnation(report.incarnation().value())
            .setRunning(report.running())
            .setQueued(report.queued())
            .setSlots(report.slots())
            .setDraining(report.draining())
            .setAgeMs(WireDurations.toMillis(relayed.age(nowNanos)));
    report.version().ifPresent(version -> builder.setVersion(version.value()));
    return builder.build();
  }

  private static RelayedReport decodeReport(Report report, long nowNanos) {
    Optional<WeightVersion> version =
        report.hasVersion() ? Optional.of(WeightVersion.of(report.getVersion())) : Optional.empty();
    return new RelayedReport(
        BackendServerId.of(report.getServer()),
        new LoadReport(
            Incarnation.of(report.getIncarnation()),
            version,
            report.getRunning(),
            report.getQueued(),
            report.getSlots(),
            report.getDraining(),
            nowNanos - WireDurations.millisToNanos(report.getAgeMs())));
  }

  static ZoneAggregate encodeAggregate(PoolZoneView aggregate, long nowNanos) {
    ZoneView view = aggregate.view();
    ZoneAggregate.Builder builder =
        ZoneAggregate.newBuilder()
            .setZone(view.zone().value())
            .setRegion(view.region().value())
            .setPool(aggregate.pool().value())
            .setServers(view.servers())
            .setRunning(view.running())
            .setQueued(view.queued())
            .setSlots(view.slots())
            .setAgeMs(WireDurations.nanosToMillis(nowNanos - view.takenNanos()));
    view.version().ifPresent(version -> builder.setVersion(version.value()));
    return builder.build();
  }

  private static PoolZoneView decodeAggregate(ZoneAggregate aggregate, long nowNanos) {
    Optional<WeightVersion> version =
        aggregate.hasVersion()
            ? Optional.of(WeightVersion.of(aggregate.getVersion()))
            : Optional.empty();
    return new PoolZoneView(
        PoolId.of(aggregate.getPool()),
        new ZoneView(
            AvailabilityZoneId.of(aggregate.getZone()),
            RegionId.of(aggregate.getRegion()),
            aggregate.getServers(),
            aggregate.getRunning(),
            aggregate.getQueued(),
            aggregate.getSlots(),
            version,
            nowNanos - WireDurations.millisToNanos(aggregate.getAgeMs())));
  }

  /**
   * Decodes the membership part of a heartbeat.
   *
   * @throws IllegalArgumentException if a field is invalid
   */
  static PeerHeartbeat decode(LocalVm from, Heartbeat heartbeat, long nowNanos) {
    Optional<Duration> lastReceivedAge =
        heartbeat.hasLastHeardMs()
            ? Optional.of(WireDurations.fromMillis(heartbeat.getLastHeardMs()))
            : Optional.empty();
    ImmutableList<LeavingServer> leaving =
        heartbeat.getLeavingList().stream()
            .map(
                server ->
                    new LeavingServer(
                        BackendServerId.of(server.getServer()),
                        Incarnation.of(server.getIncarnation())))
            .collect(ImmutableList.toImmutableList());
    return new PeerHeartbeat(
        from,
        decodePhase(heartbeat.getPhase()),
        lastReceivedAge,
        heartbeat.getReportList().stream()
            .map(report -> decodeReport(report, nowNanos))
            .collect(ImmutableList.toImmutableList()),
        leaving,
        heartbeat.getAggregateList().stream()
            .map(aggregate -> decodeAggregate(aggregate, nowNanos))
            .collect(ImmutableList.toImmutableList()),
        decodeQueues(heartbeat.getQueueList()));
  }

  private static ImmutableMap<PoolId, Integer> decodeQueues(List<PoolQueue> queues) {
    ImmutableMap.Builder<PoolId, Integer> builder = ImmutableMap.builder();
    queues.forEach(queue -> builder.put(PoolId.of(queue.getPool()), queue.getQueued()));
    return builder.buildKeepingLast();
  }
}
