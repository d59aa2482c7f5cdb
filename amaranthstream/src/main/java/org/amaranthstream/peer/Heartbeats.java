package org.amaranthstream.peer;

import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.membership.MembershipTable;
import org.amaranthstream.membership.PeerHeartbeat;
import org.amaranthstream.membership.PoolZoneView;
import org.amaranthstream.peer.wire.Frame;
import org.amaranthstream.peer.wire.Heartbeat;
import org.amaranthstream.peer.wire.ModelVersion;
import org.amaranthstream.peer.wire.Ping;
import org.amaranthstream.peer.wire.PoolQueue;
import org.amaranthstream.time.TimerService;

/**
 * Makes heartbeats and takes those of peers. Within the zone a heartbeat has load reports; to other
 * zones only the zone's speakers send heartbeats, with aggregates, and the others send pings.
 *
 * <p>Used on the decision thread only.
 */
final class Heartbeats {
  private final LocalVm self;
  private final MembershipTable table;
  private final HeartbeatSource source;
  private final HeartbeatSink sink;
  private final TimerService timers;
  private long sequence;

  Heartbeats(
      LocalVm self,
      MembershipTable table,
      HeartbeatSource source,
      HeartbeatSink sink,
      TimerService timers) {
    this.self = self;
    this.table = table;
    this.source = source;
    this.sink = sink;
    this.timers = timers;
  }

  /** Sends one heartbeat or ping on each ready link. */
  void send(PeerLinks links, InboundLinks inbound) {
    sequence++;
    table.setWaitingRequests(source.waiting());
    Heartbeat inZone = inZone();
    Optional<Heartbeat> crossZone = table.isSpeaker() ? Optional.of(crossZone()) : Optional.empty();
    Frame ping = Frame.newBuilder().setPing(Ping.newBuilder().setSequence(sequence)).build();
    for (PeerLink link : links.ready()) {
      boolean sameZone = link.peer().map(peer -> peer.zone().equals(self.zone())).orElse(false);
      Optional<Heartbeat> body = sameZone ? Optional.of(inZone) : crossZone;
      // A full link drops the heartbeat; the next one carries the same and more.
      SendResult unused =
          link.send(body.map(message -> address(message, link, inbound)).orElse(ping));
    }
  }

  private Frame address(Heartbeat body, PeerLink link, InboundLinks inbound) {
    Heartbeat.Builder builder = body.toBuilder().setAckedSequence(link.ackedSequence());
    inbound
        .heardAgeNanos(link.target())
        .ifPresent(age -> builder.setLastHeardMs(WireDurations.nanosToMillis(age)));
    return Frame.newBuilder().setHeartbeat(builder).build();
  }

  private Heartbeat.Builder common() {
    Heartbeat.Builder builder =
        Heartbeat.newBuilder()
            .setSequence(sequence)
            .setPhase(HeartbeatCodec.encodePhase(table.phase()))
            .setConfigGeneration(source.configGeneration().value());
    source
        .weightVersions()
        .forEach(
            (model, version) ->
                builder.addModelVersion(
                    ModelVersion.newBuilder().setModel(model.value()).setVersion(version.value())));
    source.poison().forEach(notice -> builder.addPoison(PoisonCodec.encode(notice)));
    return builder;
  }

  private Heartbeat inZone() {
    long now = timers.nowNanos();
    Heartbeat.Builder builder = common();
    table.reportsToRelay().forEach(r -> builder.addReport(HeartbeatCodec.encodeReport(r, now)));
    table
        .leavingServers()
        .forEach(
            leaving ->
                builder
                    .addLeavingBuilder()
                    .setServer(leaving.server().value())
                    .setIncarnation(leaving.incarnation().value()));
    addAggregates(builder, table.aggregatesToRelay(), now);
    source
        .waiting()
        .forEach(
            (pool, queued) ->
                builder.addQueue(PoolQueue.newBuilder().setPool(pool.value()).setQueued(queued)));
    return builder.build();
  }

  private Heartbeat crossZone() {
    Heartbeat.Builder builder = common();
    addAggregates(builder, table.localAggregates(), timers.nowNanos());
    return builder.build();
  }

  private static void addAggregates(
      Heartbeat.Builder builder, Iterable<PoolZoneView> aggregates, long now) {
    aggregates.forEach(
        aggregate -> builder.addAggregate(HeartbeatCodec.encodeAggregate(aggregate, now)));
  }

  /**
   * Takes a heartbeat.
   *
   * @throws IllegalArgumentException if a part is out of range; nothing was taken then
   */
  void receive(InboundLink link, Heartbeat received) {
    long now = timers.nowNanos();
    Heartbeat heartbeat = withoutLateReports(link, received, now);
    LocalVm from = link.peer();
    PeerHeartbeat membership = HeartbeatCodec.decode(from, heartbeat, now);
    ConfigGeneration generation = ConfigGeneration.of(heartbeat.getConfigGeneration());
    table.onHeartbeat(membership, now);
    sink.onConfigGeneration(from.id(), generation);
    for (ModelVersion known : heartbeat.getModelVersionList()) {
      sink.onWeightVersion(ModelId.of(known.getModel()), WeightVersion.of(known.getVersion()));
    }
    heartbeat.getPoisonList().forEach(content -> sink.onPoison(PoisonCodec.decode(content)));
  }

  /** Reports whose true age is not known well enough could bring an old incarnation back. */
  private Heartbeat withoutLateReports(InboundLink link, Heartbeat heartbeat, long now) {
    OptionalLong transit = link.maxTransitNanos(heartbeat.getAckedSequence(), now);
    boolean late = transit.isEmpty() || transit.getAsLong() > table.relaySkew().toNanos();
    return late ? heartbeat.toBuilder().clearReport().clearAggregate().build() : heartbeat;
  }
}
