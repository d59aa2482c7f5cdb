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
 * Sender and receiver of heartbeats. A heartbeat to a peer of the same zone contains load reports.
 * Only the speakers of a zone send heartbeats to other zones; these contain aggregates. The other
 * daemons send pings to other zones.
 *
 * <p>Used on the decision thread only.
 */
final class HeartbeatExchange {
  private final LocalVm self;
  private final MembershipTable table;
  private final HeartbeatSource source;
  private final HeartbeatSink sink;
  private final TimerService timers;
  private long sequence;

  HeartbeatExchange(
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
    send(links.ready(), inbound);
  }

  /** Sends one heartbeat or ping on each of {@code links}. */
  void send(Iterable<PeerLink> links, InboundLinks inbound) {
    sequence++;
    table.setWaitingRequests(source.waitingRequests());
    Heartbeat inZone = buildInZone();
    Optional<Heartbeat> crossZone =
        table.isSpeaker() ? Optional.of(buildCrossZone()) : Optional.empty();
    Frame ping = Frame.newBuilder().setPing(Ping.newBuilder().setSequence(sequence)).build();
    for (PeerLink link : links) {
      boolean sameZone = link.peer().map(peer -> peer.zone().equals(self.zone())).orElse(false);
      Optional<Heartbeat> body = sameZone ? Optional.of(inZone) : crossZone;
      // If the link is full, the heartbeat is dropped. The next one contains the current state.
      SendResult unused =
          link.send(body.map(message -> toFrame(message, link, inbound)).orElse(ping));
    }
  }

  private Frame toFrame(Heartbeat body, PeerLink link, InboundLinks inbound) {
    Heartbeat.Builder builder = body.toBuilder().setAckedSequence(link.ackedSequence());
    inbound
        .lastReceivedAgeNanos(link.target())
        .ifPresent(age -> builder.setLastHeardMs(WireDurations.nanosToMillis(age)));
    return Frame.newBuilder().setHeartbeat(builder).build();
  }

  private Heartbeat.Builder newCommonBuilder() {
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
    source.poisonNotices().forEach(notice -> builder.addPoison(PoisonCodec.encode(notice)));
    return builder;
  }

  private Heartbeat buildInZone() {
    long now = timers.nowNanos();
    Heartbeat.Builder builder = newCommonBuilder();
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
        .waitingRequests()
        .forEach(
            (pool, queued) ->
                builder.addQueue(PoolQueue.newBuilder().setPool(pool.value()).setQueued(queued)));
    return builder.build();
  }

  private Heartbeat buildCrossZone() {
    Heartbeat.Builder builder = newCommonBuilder();
    addAggregates(builder, table.localAggregates(), timers.nowNanos());
    return builder.build();
  }

  private static void addAggregates(
      Heartbeat.Builder builder, Iterable<PoolZoneView> aggregates, long now) {
    aggregates.forEach(
        aggregate -> builder.addAggregate(HeartbeatCodec.encodeAggregate(aggregate, now)));
  }

  /**
   * Applies a received heartbeat.
   *
   * @throws IllegalArgumentException if a field is invalid. Nothing is applied if the field belongs
   *     to the membership part or is the configuration generation; if it belongs to a weight
   *     version or a poison notice, the parts before it are applied
   */
  void receive(InboundLink link, Heartbeat received) {
    long now = timers.nowNanos();
    Heartbeat heartbeat = withoutDelayedReports(link, received, now);
    LocalVm from = link.peer();
    PeerHeartbeat membership = HeartbeatCodec.decode(from, heartbeat, now);
    ConfigGeneration generation = ConfigGeneration.of(heartbeat.getConfigGeneration());
    table.onHeartbeat(membership, now);
    sink.onConfigGeneration(from.id(), generation);
    membership.leaving().forEach(sink::onLeavingServer);
    for (ModelVersion announced : heartbeat.getModelVersionList()) {
      sink.onWeightVersion(
          ModelId.of(announced.getModel()), WeightVersion.of(announced.getVersion()));
    }
    heartbeat.getPoisonList().forEach(content -> sink.onPoisonNotice(PoisonCodec.decode(content)));
  }

  /**
   * Removes the reports and aggregates if the heartbeat may have been delayed by more than the
   * relay skew. The age of such a report is uncertain, so that it could reinstate an old
   * incarnation.
   */
  private Heartbeat withoutDelayedReports(InboundLink link, Heartbeat heartbeat, long now) {
    OptionalLong transit = link.maxTransitNanos(heartbeat.getAckedSequence(), now);
    boolean delayed = transit.isEmpty() || transit.getAsLong() > table.relaySkew().toNanos();
    return delayed ? heartbeat.toBuilder().clearReport().clearAggregate().build() : heartbeat;
  }
}
