package org.amaranthstream.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.platform.VmEntry;
import org.amaranthstream.platform.VmKind;

/** A membership table of an entry VM in {@code zone-a}, with its virtual time. */
final class TableFixture {
  static final PoolId POOL = PoolId.of("coding");
  static final String ZONE = "zone-a";

  final MembershipSettings settings = MembershipSettings.builder().build();
  final MembershipTable table;
  long now;

  TableFixture(List<VmEntry> seeds) {
    this("vm-0", seeds);
  }

  TableFixture(String name, List<VmEntry> seeds) {
    this.table = MembershipTable.create(vm(name, ZONE, 1), settings, seeds, 0);
  }

  static LocalVm vm(String name, String zone, int run) {
    return new LocalVm(
        EntryVmId.of(name),
        Incarnation.of(name + "-run-" + run),
        RegionId.of("region-" + zone),
        AvailabilityZoneId.of(zone));
  }

  static VmEntry entryVm(String name, String zone) {
    return entry(name, VmKind.ENTRY, zone, false);
  }

  static VmEntry server(String name, String zone, boolean leaving) {
    return entry(name, VmKind.BACKEND, zone, leaving);
  }

  private static VmEntry entry(String name, VmKind kind, String zone, boolean leaving) {
    return new VmEntry(
        name,
        kind,
        RegionId.of("region-" + zone),
        AvailabilityZoneId.of(zone),
        "10.0.0.1",
        80,
        kind == VmKind.BACKEND ? Optional.of(POOL) : Optional.empty(),
        leaving);
  }

  LoadReport report(String incarnation, boolean draining, Duration age) {
    return new LoadReport(
        Incarnation.of(incarnation),
        Optional.of(WeightVersion.of(3)),
        1,
        2,
        8,
        draining,
        now - age.toNanos());
  }

  void advance(Duration duration) {
    now += duration.toNanos();
    table.tick(now);
  }

  void list(VmEntry... entries) {
    table.onVmList(List.of(entries), now);
  }

  void poll(String server, LoadReport report) {
    table.onPolled(BackendServerId.of(server), report, now);
  }

  void relay(String server, LoadReport report) {
    RelayedReport relayed = new RelayedReport(BackendServerId.of(server), report);
    heartbeat(vm("vm-1", ZONE, 1), ImmutableList.of(relayed), ImmutableList.of());
  }

  void notice(String server, String incarnation) {
    LeavingServer leaving =
        new LeavingServer(BackendServerId.of(server), Incarnation.of(incarnation));
    heartbeat(vm("vm-1", ZONE, 1), ImmutableList.of(), ImmutableList.of(leaving));
  }

  void heartbeat(LocalVm from) {
    heartbeat(from, ImmutableList.of(), ImmutableList.of());
  }

  private void heartbeat(
      LocalVm from, ImmutableList<RelayedReport> reports, ImmutableList<LeavingServer> leaving) {
    heartbeat(from, Optional.of(Duration.ZERO), reports, leaving, ImmutableList.of());
  }

  void heartbeat(
      LocalVm from,
      Optional<Duration> lastReceivedAge,
      ImmutableList<RelayedReport> reports,
      ImmutableList<LeavingServer> leaving,
      ImmutableList<PoolZoneView> aggregates) {
    table.onHeartbeat(
        new PeerHeartbeat(
            from, VmPhase.READY, lastReceivedAge, reports, leaving, aggregates, ImmutableMap.of()),
        now);
  }

  ZoneView zone(String zone, int servers) {
    return new ZoneView(
        AvailabilityZoneId.of(zone),
        RegionId.of("region-" + zone),
        servers,
        1,
        2,
        8 * servers,
        Optional.empty(),
        now);
  }

  BackendView view(String server) {
    return table.local(POOL).stream()
        .filter(view -> view.server().id().value().equals(server))
        .findFirst()
        .orElseThrow();
  }

  boolean isLeaving(String server) {
    return view(server).leaving();
  }

  EntryVmView vmView(String name) {
    return table.entryVm(EntryVmId.of(name)).orElseThrow();
  }
}
