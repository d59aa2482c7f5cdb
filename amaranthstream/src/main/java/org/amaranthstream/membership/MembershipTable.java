package org.amaranthstream.membership;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.platform.VmEntry;
import org.amaranthstream.platform.VmKind;

/**
 * What this process knows of the other entry VMs, of the backend servers of its availability zone
 * and of the other zones.
 *
 * <p>A pure state machine: every input carries the monotonic time, and nothing here reads a clock
 * or does input or output. The last list that was read stays in force through an outage of the
 * platform, and the seeds of the settings stand in until the first read.
 *
 * <p>Not thread safe; all calls come on the decision thread.
 *
 * <pre>{@code
 * MembershipTable table = MembershipTable.create(self, settings, seeds, timers.nowNanos());
 * table.onVmList(entries, timers.nowNanos());
 * table.tick(timers.nowNanos());
 * ImmutableList<BackendView> servers = table.local(PoolId.of("coding"));
 * }</pre>
 */
public final class MembershipTable implements BackendDirectory {
  private static final int MAX_POLLERS = 3;

  private final LocalVm self;
  private final MembershipSettings settings;
  private final EntryVmTable entryVms;
  private final BackendTable backends;
  private final ZoneTable zones;
  private final CrossZoneLinks crossZone;
  private VmPhase phase = VmPhase.READY;
  private ImmutableMap<PoolId, Integer> waiting = ImmutableMap.of();
  private Optional<Long> listReadNanos = Optional.empty();
  private long nowNanos;

  private MembershipTable(LocalVm self, MembershipSettings settings, long nowNanos) {
    this.self = self;
    this.settings = settings;
    this.entryVms = new EntryVmTable(self, settings);
    this.backends = new BackendTable(self.zone(), settings);
    this.zones = new ZoneTable(self.zone(), settings);
    this.crossZone = new CrossZoneLinks(self, settings);
    this.nowNanos = nowNanos;
  }

  /**
   * Returns a table that knows only {@code seeds}.
   *
   * @param seeds entries of the settings, in force until the platform's list is read
   */
  public static MembershipTable create(
      LocalVm self, MembershipSettings settings, List<VmEntry> seeds, long nowNanos) {
    MembershipTable table = new MembershipTable(self, settings, nowNanos);
    table.applyList(seeds);
    return table;
  }

  /**
   * Takes a read of the platform's list. A list without any entry is taken as a failed read.
   *
   * @param entries the whole list
   */
  public void onVmList(List<VmEntry> entries, long nowNanos) {
    advance(nowNanos);
    if (entries.isEmpty()) {
      return;
    }
    listReadNanos = Optional.of(this.nowNanos);
    applyList(entries);
  }

  private void applyList(List<VmEntry> entries) {
    entryVms.onList(entries.stream().filter(entry -> entry.kind() == VmKind.ENTRY).toList());
    backends.onList(
        entries.stream().filter(entry -> entry.kind() == VmKind.BACKEND).toList(), nowNanos);
    updateCrossZone();
  }

  /** Takes a heartbeat of another entry VM. */
  public void onHeartbeat(PeerHeartbeat heartbeat, long nowNanos) {
    advance(nowNanos);
    entryVms.onHeartbeat(heartbeat, this.nowNanos);
    boolean sameZone = heartbeat.from().zone().equals(self.zone());
    if (sameZone) {
      heartbeat.reports().forEach(r -> backends.onRelayed(r.server(), r.report(), this.nowNanos));
      heartbeat.leaving().forEach(leaving -> backends.onLeaving(leaving, this.nowNanos));
    }
    heartbeat.aggregates().forEach(aggregate -> zones.onAggregate(aggregate, !sameZone));
  }

  /** Takes the answer of an entry VM on one of this process's links. */
  public void onLinkResponse(EntryVmId vm, VmPhase phase, long nowNanos) {
    advance(nowNanos);
    crossZone.onResponse(vm, phase, this.nowNanos);
  }

  /** Takes a load report that this process polled itself. */
  public void onPolled(BackendServerId server, LoadReport report, long nowNanos) {
    advance(nowNanos);
    backends.onPolled(server, report, this.nowNanos);
  }

  /** Takes a server's own answer to a request that it, in this incarnation, leaves. */
  public void onServerLeaving(LeavingServer leaving, long nowNanos) {
    advance(nowNanos);
    backends.onLeaving(leaving, this.nowNanos);
  }

  /** Sets whether this process takes new work. */
  public void setPhase(VmPhase phase) {
    this.phase = phase;
  }

  /** Sets the number of requests that wait in this process, by pool. */
  public void setWaitingRequests(ImmutableMap<PoolId, Integer> waiting) {
    this.waiting = waiting;
  }

  /** Applies the timeouts; to be called several times within the shortest of them. */
  public void tick(long nowNanos) {
    advance(nowNanos);
    entryVms.tick(this.nowNanos);
    backends.tick(this.nowNanos);
    zones.tick(this.nowNanos);
    updateCrossZone();
  }

  private void advance(long nowNanos) {
    if (nowNanos - this.nowNanos > 0) {
      this.nowNanos = nowNanos;
    }
  }

  private void updateCrossZone() {
    Map<AvailabilityZoneId, List<EntryVmId>> candidates = new TreeMap<>();
    for (EntryVmView vm : entryVms.views(nowNanos)) {
      boolean linkable = vm.listed() && vm.phase() == VmPhase.READY;
      if (linkable && !vm.zone().equals(self.zone())) {
        candidates.computeIfAbsent(vm.zone(), unused -> new ArrayList<>()).add(vm.id());
      }
    }
    crossZone.update(candidates, nowNanos);
  }

  @Override
  public ImmutableList<BackendView> local(PoolId pool) {
    return backends.views(pool, nowNanos);
  }

  @Override
  public ImmutableList<ZoneView> remote(PoolId pool) {
    return zones.views(pool, nowNanos);
  }

  /** Returns how much younger than the truth a passed-on load report may look. */
  public Duration relaySkew() {
    return settings.relaySkew();
  }

  /** Returns the own phase. */
  public VmPhase phase() {
    return phase;
  }

  /** Returns what is known about {@code vm}, empty if nothing is. */
  public Optional<EntryVmView> entryVm(EntryVmId vm) {
    return entryVms.view(vm, nowNanos);
  }

  /** Returns all other entry VMs that are known. */
  public ImmutableList<EntryVmView> entryVms() {
    return entryVms.views(nowNanos);
  }

  /**
   * Returns the reachable entry VMs of the local zone that accept new work, including the local
   * one.
   */
  public ImmutableList<EntryVmId> zoneMembers() {
    ImmutableList.Builder<EntryVmId> members = ImmutableList.builder();
    for (EntryVmView vm : entryVms.views(self.zone(), nowNanos)) {
      boolean reachable =
          vm.reachability() == Reachability.REACHABLE || vm.reachability() == Reachability.SUSPECT;
      if (reachable && vm.phase() == VmPhase.READY) {
        members.add(vm.id());
      }
    }
    if (phase == VmPhase.READY) {
      members.add(self.id());
    }
    return members.build();
  }

  /** Returns the backend servers that this process polls now. */
  public ImmutableList<BackendServer> serversToPoll() {
    ImmutableList<EntryVmId> members = zoneMembers();
    return backends.servers().stream()
        .filter(server -> shouldPoll(server.id(), members))
        .collect(toImmutableList());
  }

  private boolean shouldPoll(BackendServerId server, ImmutableList<EntryVmId> members) {
    int rank = RendezvousHash.order(server.value(), members).indexOf(self.id());
    if (rank < 0 || rank >= MAX_POLLERS) {
      return members.isEmpty();
    }
    Duration backupPollDelay = settings.backupPollAfter().multipliedBy(rank);
    return backends.reportAge(server, nowNanos).compareTo(backupPollDelay) >= 0;
  }

  /** Returns the load reports that the next heartbeat in the own zone passes on. */
  public ImmutableList<RelayedReport> reportsToRelay() {
    return backends.polledReports(nowNanos);
  }

  /** Returns the incarnations of listed backend servers that are known to leave. */
  public ImmutableList<LeavingServer> leavingServers() {
    return backends.leaving();
  }

  /** Returns true if this process sends the zone's aggregates to other zones. */
  public boolean isSpeaker() {
    int rank = RendezvousHash.order(self.zone().value(), zoneMembers()).indexOf(self.id());
    return rank >= 0 && rank < settings.speakers();
  }

  /** Returns the aggregates of the own zone, for heartbeats to other zones. */
  public ImmutableList<PoolZoneView> localAggregates() {
    ZoneAggregator aggregator = new ZoneAggregator(self, settings.reportExpiry(), nowNanos);
    ImmutableList.Builder<PoolZoneView> builder = ImmutableList.builder();
    backends
        .views(nowNanos)
        .asMap()
        .forEach(
            (pool, servers) -> {
              int queued = waiting.getOrDefault(pool, 0) + entryVms.waiting(pool);
              builder.add(new PoolZoneView(pool, aggregator.aggregate(servers, queued)));
            });
    return builder.build();
  }

  /** Returns the aggregates of other zones to pass on within the own zone. */
  public ImmutableList<PoolZoneView> aggregatesToRelay() {
    return zones.direct(nowNanos);
  }

  /** Returns the entry VMs that this process keeps links to: the whole zone, few of each other. */
  public ImmutableList<EntryVmView> linkTargets() {
    ImmutableList.Builder<EntryVmView> targets = ImmutableList.builder();
    entryVms.views(self.zone(), nowNanos).stream()
        .filter(EntryVmView::listed)
        .forEach(targets::add);
    crossZone.targets().forEach(vm -> entryVm(vm).ifPresent(targets::add));
    return targets.build();
  }

  /** Returns the entry VMs of another zone that work is forwarded to. */
  public ImmutableList<EntryVmId> forwardTargets(AvailabilityZoneId zone) {
    return crossZone.targets(zone);
  }

  /** Returns the table as immutable records, for the state dump. */
  public MembershipSnapshot snapshot() {
    return new MembershipSnapshot(
        self,
        phase,
        listReadNanos.map(at -> Duration.ofNanos(nowNanos - at)),
        isSpeaker(),
        entryVms.views(nowNanos),
        backends.views(nowNanos).values().asList(),
        serversToPoll().stream().map(BackendServer::id).collect(toImmutableList()),
        leavingServers(),
        zones.all(nowNanos));
  }
}
