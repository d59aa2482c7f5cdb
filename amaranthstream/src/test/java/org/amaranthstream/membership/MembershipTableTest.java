package org.amaranthstream.membership;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.truth.Truth.assertThat;
import static org.amaranthstream.membership.TableFixture.POOL;
import static org.amaranthstream.membership.TableFixture.ZONE;
import static org.amaranthstream.membership.TableFixture.entryVm;
import static org.amaranthstream.membership.TableFixture.server;
import static org.amaranthstream.membership.TableFixture.vm;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.platform.VmEntry;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests of {@link MembershipTable} with virtual time. */
class MembershipTableTest {
  private static final Duration SECOND = Duration.ofSeconds(1);
  private static final Duration MINUTE = Duration.ofMinutes(1);

  private final TableFixture fixture =
      new TableFixture(List.of(server("s", ZONE, false), entryVm("vm-1", ZONE)));

  @Nested
  class VmListReads {
    @Test
    void seedsAreUsedUntilTheFirstRead() {
      assertThat(fixture.view("s").leaving()).isFalse();
      fixture.list(server("t", ZONE, false));
      assertThat(Iterables.getOnlyElement(fixture.table.local(POOL)).server().id().value())
          .isEqualTo("t");
    }

    @Test
    void emptyReadKeepsTheLastList() {
      fixture.list();
      assertThat(fixture.table.local(POOL)).hasSize(1);
    }

    @Test
    void serversOfOtherZonesAreNotLocal() {
      fixture.list(server("s", "zone-b", false));
      assertThat(fixture.table.local(POOL)).isEmpty();
    }
  }

  @Nested
  class LeavingServers {
    @Test
    void serverThatIsListedAsLeavingIsLeaving() {
      fixture.list(server("s", ZONE, true));
      assertThat(fixture.isLeaving("s")).isTrue();
    }

    @Test
    void listCannotClearLeavingOfTheSameIncarnation() {
      fixture.poll("s", fixture.report("run-1", false, Duration.ZERO));
      fixture.list(server("s", ZONE, true));
      fixture.list(server("s", ZONE, false));
      fixture.advance(MINUTE);
      fixture.poll("s", fixture.report("run-1", false, Duration.ZERO));
      assertThat(fixture.isLeaving("s")).isTrue();
    }

    @Test
    void newIncarnationIsEligibleOnceTheListHasCaughtUp() {
      fixture.poll("s", fixture.report("run-1", false, Duration.ZERO));
      fixture.list(server("s", ZONE, true));
      fixture.advance(Duration.ofSeconds(5));
      fixture.poll("s", fixture.report("run-2", false, Duration.ZERO));
      assertThat(fixture.isLeaving("s")).isTrue();
      fixture.list(server("s", ZONE, false));
      fixture.advance(MINUTE);
      assertThat(fixture.isLeaving("s")).isFalse();
    }

    @Test
    void listDoesNotClearLeavingOfNewIncarnationAtOnce() {
      fixture.poll("s", fixture.report("run-1", false, Duration.ZERO));
      fixture.list(server("s", ZONE, true));
      fixture.advance(Duration.ofSeconds(5));
      fixture.poll("s", fixture.report("run-2", false, Duration.ZERO));
      fixture.list(server("s", ZONE, false));
      assertThat(fixture.isLeaving("s")).isTrue();
    }

    @Test
    void listedLeavingBeforeAnyReportIsClearedAfterTheClearTime() {
      fixture.list(server("s", ZONE, true));
      fixture.list(server("s", ZONE, false));
      fixture.poll("s", fixture.report("run-1", false, Duration.ZERO));
      fixture.advance(Duration.ofSeconds(29));
      assertThat(fixture.isLeaving("s")).isTrue();
      fixture.advance(SECOND);
      assertThat(fixture.isLeaving("s")).isFalse();
    }

    @Test
    void drainingReportMarksTheServerAsLeaving() {
      fixture.poll("s", fixture.report("run-1", true, Duration.ZERO));
      fixture.poll("s", fixture.report("run-1", false, Duration.ZERO));
      assertThat(fixture.isLeaving("s")).isTrue();
    }

    @Test
    void noticeFromPeerMarksTheServerAsLeaving() {
      fixture.poll("s", fixture.report("run-1", false, Duration.ZERO));
      fixture.notice("s", "run-1");
      assertThat(fixture.isLeaving("s")).isTrue();
    }

    @Test
    void lateReportOfOlderIncarnationDoesNotClearLeaving() {
      fixture.advance(MINUTE);
      fixture.poll("s", fixture.report("run-2", true, Duration.ZERO));
      fixture.relay("s", fixture.report("run-1", false, SECOND));
      fixture.advance(SECOND);
      fixture.relay("s", fixture.report("run-1", false, Duration.ZERO));
      assertThat(fixture.isLeaving("s")).isTrue();
    }

    @Test
    void noticeIsDisregardedOnceNewerIncarnationReports() {
      fixture.notice("s", "run-1");
      fixture.advance(Duration.ofSeconds(5));
      fixture.relay("s", fixture.report("run-2", false, Duration.ZERO));
      assertThat(fixture.isLeaving("s")).isFalse();
      assertThat(fixture.table.leavingServers()).isEmpty();
    }

    @Test
    void confirmedLeavingIsRelayed() {
      fixture.poll("s", fixture.report("run-1", true, Duration.ZERO));
      assertThat(Iterables.getOnlyElement(fixture.table.leavingServers()).incarnation().value())
          .isEqualTo("run-1");
    }
  }

  @Nested
  class EntryVms {
    @Test
    void missingHeartbeatsMakeSuspectAndThenUnreachable() {
      fixture.heartbeat(vm("vm-1", ZONE, 1));
      assertThat(fixture.vmView("vm-1").takesWork()).isTrue();
      fixture.advance(Duration.ofSeconds(3));
      assertThat(fixture.vmView("vm-1").reachability()).isEqualTo(Reachability.SUSPECT);
      fixture.advance(Duration.ofSeconds(3));
      assertThat(fixture.vmView("vm-1").reachability()).isEqualTo(Reachability.UNREACHABLE);
    }

    @Test
    void unreachableVmNeedsSeveralHeartbeatsToBecomeReachable() {
      fixture.heartbeat(vm("vm-1", ZONE, 1));
      fixture.advance(Duration.ofSeconds(10));
      fixture.heartbeat(vm("vm-1", ZONE, 1));
      assertThat(fixture.vmView("vm-1").reachability()).isEqualTo(Reachability.UNREACHABLE);
      fixture.advance(SECOND);
      fixture.heartbeat(vm("vm-1", ZONE, 1));
      fixture.advance(SECOND);
      fixture.heartbeat(vm("vm-1", ZONE, 1));
      assertThat(fixture.vmView("vm-1").reachability()).isEqualTo(Reachability.REACHABLE);
    }

    @Test
    void newIncarnationIsReachableAtOnce() {
      fixture.heartbeat(vm("vm-1", ZONE, 1));
      fixture.advance(Duration.ofSeconds(10));
      fixture.heartbeat(vm("vm-1", ZONE, 2));
      assertThat(fixture.vmView("vm-1").reachability()).isEqualTo(Reachability.REACHABLE);
    }

    @Test
    void oneWayCutIsDetectedByTheSideThatStillReceives() {
      fixture.heartbeat(
          vm("vm-1", ZONE, 1),
          Optional.of(Duration.ofSeconds(30)),
          ImmutableList.of(),
          ImmutableList.of(),
          ImmutableList.of());
      assertThat(fixture.vmView("vm-1").reachability()).isEqualTo(Reachability.REACHABLE);
      assertThat(fixture.vmView("vm-1").takesWork()).isFalse();
    }
  }

  @Nested
  class Polling {
    private final ImmutableList<VmEntry> zone = zone(5, 40);

    private static ImmutableList<VmEntry> zone(int vms, int servers) {
      List<VmEntry> entries = new ArrayList<>();
      IntStream.range(0, vms).forEach(i -> entries.add(entryVm("vm-" + i, ZONE)));
      IntStream.range(0, servers).forEach(i -> entries.add(server("s-" + i, ZONE, false)));
      return ImmutableList.copyOf(entries);
    }

    private ImmutableList<TableFixture> tables() {
      return IntStream.range(0, 5)
          .mapToObj(i -> new TableFixture("vm-" + i, zone))
          .collect(toImmutableList());
    }

    private void exchangeHeartbeats(List<TableFixture> tables) {
      for (TableFixture to : tables) {
        IntStream.range(0, 5).forEach(i -> to.heartbeat(vm("vm-" + i, ZONE, 1)));
      }
    }

    @Test
    void eachServerHasOnePoller() {
      ImmutableList<TableFixture> tables = tables();
      exchangeHeartbeats(tables);
      List<String> polled =
          tables.stream()
              .flatMap(fixture -> fixture.table.serversToPoll().stream())
              .map(server -> server.id().value())
              .toList();
      assertThat(polled).hasSize(40);
      assertThat(polled).containsNoDuplicates();
    }

    @Test
    void nextInOrderPollsWhenReportsStop() {
      ImmutableList<TableFixture> tables = tables();
      exchangeHeartbeats(tables);
      tables.forEach(fixture -> fixture.advance(Duration.ofMillis(3500)));
      exchangeHeartbeats(tables);
      long pollers =
          tables.stream().mapToLong(fixture -> fixture.table.serversToPoll().size()).sum();
      assertThat(pollers).isEqualTo(80);
    }
  }

  @Nested
  class OtherZones {
    private PoolZoneView aggregate(int servers) {
      return new PoolZoneView(POOL, fixture.zone("zone-b", servers));
    }

    private void receiveAggregate(LocalVm from, PoolZoneView aggregate) {
      fixture.heartbeat(
          from,
          Optional.empty(),
          ImmutableList.of(),
          ImmutableList.of(),
          ImmutableList.of(aggregate));
    }

    @Test
    void aggregateIsUsedUntilItExpires() {
      receiveAggregate(vm("vm-9", "zone-b", 1), aggregate(3));
      assertThat(fixture.table.remote(POOL)).hasSize(1);
      fixture.advance(Duration.ofSeconds(10));
      assertThat(fixture.table.remote(POOL)).isEmpty();
    }

    @Test
    void aggregateFromItsOwnZoneIsRelayedWithinTheLocalZone() {
      receiveAggregate(vm("vm-9", "zone-b", 1), aggregate(3));
      assertThat(fixture.table.aggregatesToRelay()).hasSize(1);
    }

    @Test
    void relayedAggregateIsNotRelayedAgain() {
      receiveAggregate(vm("vm-1", ZONE, 1), aggregate(3));
      assertThat(fixture.table.remote(POOL)).hasSize(1);
      assertThat(fixture.table.aggregatesToRelay()).isEmpty();
    }

    @Test
    void zoneWithoutServersIsNotReturned() {
      receiveAggregate(vm("vm-9", "zone-b", 1), aggregate(0));
      assertThat(fixture.table.remote(POOL)).isEmpty();
    }

    @Test
    void localAggregateExcludesLeavingServers() {
      fixture.list(server("s", ZONE, false), server("t", ZONE, true));
      fixture.poll("s", fixture.report("run-1", false, Duration.ZERO));
      fixture.poll("t", fixture.report("run-1", false, Duration.ZERO));
      ZoneView localView = Iterables.getOnlyElement(fixture.table.localAggregates()).view();
      assertThat(localView.servers()).isEqualTo(1);
      assertThat(localView.slots()).isEqualTo(8);
    }

    @Test
    void linkWithoutResponsesIsReplaced() {
      VmEntry[] entries =
          IntStream.range(0, 6)
              .mapToObj(i -> entryVm("far-" + i, "zone-b"))
              .toArray(VmEntry[]::new);
      fixture.list(entries);
      AvailabilityZoneId otherZone = AvailabilityZoneId.of("zone-b");
      ImmutableList<EntryVmId> before = fixture.table.forwardTargets(otherZone);
      assertThat(before).hasSize(2);
      fixture.advance(Duration.ofSeconds(3));
      fixture.table.onLinkResponse(before.get(0), VmPhase.READY, fixture.now);
      fixture.advance(Duration.ofSeconds(3));
      ImmutableList<EntryVmId> after = fixture.table.forwardTargets(otherZone);
      assertThat(after).hasSize(2);
      assertThat(after).contains(before.get(0));
      assertThat(after).doesNotContain(before.get(1));
    }
  }
}
