package org.amaranthstream.membership;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
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
 * State of the peers, of the backend servers in the local availability zone and of the other zones.
 *
 * <p>A pure state machine: every input carries the monotonic time, and no method reads a clock or
 * does input or output. While the platform is unavailable, the VM list of the last successful read
 * stays in effect. Until the first read, the seeds from the settings are used instead.
 *
 * <p>An entry VM or a backend server that is <i>leaving</i> accepts no new work, finishes what is
 * in flight and then exits. A <i>speaker</i> is one of the few daemons of a zone that send the
 * zone's aggregated load to the other zones.
 *
 * <p>Not thread safe; all methods are called on the decision thread.
 *
 * <pre>{@code
 * MembershipTable table = MembershipTable.create(self, settings, seeds, timers.nowNanos());
 * table.onVmList(entries, timers.nowNanos());
 * table.tick(timers.nowNanos());
 * ImmutableList<BackendView> servers = table.local(PoolId.of("coding"));
 * }</pre>
 */
public final class MembershipTable implements BackendDirectory {
  /** Number of daemons in a server's rendezvous order that may poll it. */
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
  private boolean isCrossZoneStale = true;

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
   * Returns a table that contains only {@code seeds}.
   *
   * @param seeds entries from the settings, used until the platform's VM list is read
   */
  public static MembershipTable create(
      LocalVm self, MembershipSettings settings, List<VmEntry> seeds, long nowNanos) {
    MembershipTable table = new MembershipTable(self, settings, nowNanos);
    table.applyList(seeds);
    return table;
  }

  /**
   * Applies a read of the platform's VM list. Treats an empty list as a failed read and ignores it.
   *
   * @param entries the complete list
   */
  public void onVmList(List<VmEntry> entries, long nowNanos) {
    advance(nowNanos);
    if (entries.isEmpty()) {
      return;
    }
    listReadNanos = Optional.of(this.nowNanos);
    applyList(entries);
  }

  /**
   * Adds or replaces some entry VMs of the list and removes others. The cost depends on the changes
   * and not on the length of the list.
   */
  public void onVmsChanged(
      Collection<VmEntry> changed, Collection<EntryVmId> removed, long nowNanos) {
    advance(nowNanos);
    listReadNanos = Optional.of(this.nowNanos);
    entryVms.onListChanged(changed, removed);
    isCrossZoneStale = true;
  }

  private void applyList(List<VmEntry> entries) {
    entryVms.onList(entries.stream().filter(entry -> entry.kind() == VmKind.ENTRY).toList());
    backends.onList(
        entries.stream().filter(entry -> entry.kind() == VmKind.BACKEND).toList(), nowNanos);
    isCrossZoneStale = true;
  }

  /**
   * Applies a heartbeat from a peer. Load reports and leaving servers are taken only from peers in
   * the local zone.
   */
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

  /** Records a response of {@code vm} on one of the local daemon's links. */
  public void onLinkResponse(EntryVmId vm, VmPhase phase, long nowNanos) {
    advance(nowNanos);
    crossZone.onResponse(vm, phase, this.nowNanos);
  }

  /** Applies a load report that the local daemon polled. */
  public void onPolled(BackendServerId server, LoadReport report, long nowNanos) {
    advance(nowNanos);
    backends.onPolled(server, report, this.nowNanos);
  }

  /** Records that a server stated in a response that its current incarnation is leaving. */
  public void onServerLeaving(LeavingServer leaving, long nowNanos) {
    advance(nowNanos);
    backends.onLeaving(leaving, this.nowNanos);
  }

  /** Sets whether the local daemon accepts new work. */
  public void setPhase(VmPhase phase) {
    this.phase = phase;
  }

  /** Sets the number of requests queued in the local daemon, by pool. */
  public void setWaitingRequests(ImmutableMap<PoolId, Integer> waiting) {
    this.waiting = waiting;
  }

  /** Applies the timeouts. Call it several times within the shortest timeout. */
  public void tick(long nowNanos) {
    advance(nowNanos);
    entryVms.tick(this.nowNanos);
    backends.tick(this.nowNanos);
    zones.tick(this.nowNanos);
    isCrossZoneStale = true;
  }

  private void advance(long nowNanos) {
    if (nowNanos - this.nowNanos > 0) {
      this.nowNanos = nowNanos;
    }
  }

  /**
   * Returns the links to other zones. They are chosen only when they are used, because the choice
   * looks at all entry VMs.
   */
  private CrossZoneLinks crossZone() {
    if (isCrossZoneStale) {
      isCrossZoneStale = false;
      Map<AvailabilityZoneId, List<EntryVmId>> candidates = new TreeMap<>();
      for (EntryVmView vm : entryVms.views(nowNanos)) {
        boolean linkable = vm.listed() && vm.phase() == VmPhase.READY;
        if (linkable && !vm.zone().equals(self.zone())) {
          candidates.computeIfAbsent(vm.zone(), unused -> new ArrayList<>()).add(vm.id());
        }
      }
      crossZone.update(candidates, nowNanos);
    }
    return crossZone;
  }

  @Override
  public ImmutableList<BackendView> local(PoolId pool) {
    return backends.views(pool, nowNanos);
  }

  @Override
  public ImmutableList<ZoneView> remote(PoolId pool) {
    return zones.views(pool, nowNanos);
  }

  /** Returns the maximum time by which a relayed load report may appear younger than it is. */
  public Duration relaySkew() {
    return settings.relaySkew();
  }

  /** Returns whether the local daemon accepts new work. */
  public VmPhase phase() {
    return phase;
  }

  /** Returns the state of {@code vm}, empty if it is unknown or the local entry VM. */
  public Optional<EntryVmView> entryVm(EntryVmId vm) {
    return entryVms.view(vm, nowNanos);
  }

  /** Returns the known entry VMs except the local one, in the order of their names. */
  public ImmutableList<EntryVmView> entryVms() {
    return entryVms.views(nowNanos);
  }

  /**
   * Returns the entry VMs of the local zone that are reachable or suspect and accept new work,
   * including the local one.
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

  /** Returns the backend servers that the local daemon must poll now. */
  public ImmutableList<BackendServer> serversToPoll() {
    ImmutableList<EntryVmId> members = zoneMembers();
    return backends.servers().stream()
        .filter(server -> shouldPoll(server.id(), members))
        .collect(toImmutableList());
  }

  /**
   * Returns true if the local daemon polls {@code server}. The first daemon in the server's
   * rendezvous order always polls it; the next ones poll it when its report is overdue. A leaving
   * daemon polls only if no daemon of the zone accepts new work.
   */
  private boolean shouldPoll(BackendServerId server, ImmutableList<EntryVmId> members) {
    int rank = RendezvousHash.order(server.value(), members).indexOf(self.id());
    if (rank < 0 || rank >= MAX_POLLERS) {
      return members.isEmpty();
    }
    Duration backupPollDelay = settings.backupPollAfter().multipliedBy(rank);
    return backends.reportAge(server, nowNanos).compareTo(backupPollDelay) >= 0;
  }

  /** Returns the load reports that the next heartbeat relays within the local zone. */
  public ImmutableList<RelayedReport> reportsToRelay() {
    return backends.polledReports(nowNanos);
  }

  /** Returns the leaving incarnations of listed backend servers, for heartbeats to peers. */
  public ImmutableList<LeavingServer> leavingServers() {
    return backends.leaving();
  }

  /** Returns true if the local daemon sends the zone's aggregates to other zones. */
  public boolean isSpeaker() {
    int rank = RendezvousHash.order(self.zone().value(), zoneMembers()).indexOf(self.id());
    return rank >= 0 && rank < settings.speakers();
  }

  /** Returns the aggregates of the local zone, for heartbeats to other zones. */
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

  /** Returns the aggregates of other zones to relay within the local zone. */
  public ImmutableList<PoolZoneView> aggregatesToRelay() {
    return zones.direct(nowNanos);
  }

  /**
   * Returns the entry VMs that the local daemon keeps links to: all of the local zone and a few of
   * each other zone.
   */
  public ImmutableList<EntryVmId> linkTargets() {
    ImmutableList.Builder<EntryVmId> targets = ImmutableList.builder();
    entryVms.views(self.zone(), nowNanos).stream()
        .filter(EntryVmView::listed)
        .map(EntryVmView::id)
        .forEach(targets::add);
    targets.addAll(crossZone().targets());
    return targets.build();
  }

  /** Returns the entry VMs of another zone to which work is forwarded. */
  public ImmutableList<EntryVmId> forwardTargets(AvailabilityZoneId zone) {
    return crossZone().targets(zone);
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
