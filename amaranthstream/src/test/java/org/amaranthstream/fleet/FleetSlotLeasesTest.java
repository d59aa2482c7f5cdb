package org.amaranthstream.fleet;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Several owners of jobs that have more items than all engines have slots. Without leases, each
 * owner sees only its own requests, and all of them send to the same slots.
 */
class FleetSlotLeasesTest {
  private static final double MAX_REJECTED_SHARE = 0.02;
  private static final int DAEMONS = 6;
  private static final int ENGINES = 10;
  private static final int ALL_SLOTS = ENGINES * SlotFleet.SLOTS;

  /** Longer than any lease and than the time until a lost coordinator is replaced. */
  private static final int LONGEST_OUTAGE_MILLIS = 9_000;

  private final SlotFleet fleet = new SlotFleet(DAEMONS, ENGINES, true);

  private static void submitEverywhere(SlotFleet fleet, int items) {
    for (int i = 0; i < DAEMONS; i++) {
      fleet.daemons().get(i).submit("workspace" + i, items);
    }
  }

  @Nested
  class SharedSlots {
    @Test
    void areNotSentToTwice() {
      submitEverywhere(fleet, 400);
      fleet.runMillis(20_000);

      assertThat(fleet.takeRejectedShare()).isLessThan(MAX_REJECTED_SHARE);
    }

    /** Shows that the load of this test is one that owners without leases cannot serve. */
    @Test
    void areSentToTwiceWithoutLeases() {
      SlotFleet unshared = new SlotFleet(DAEMONS, ENGINES, false);
      submitEverywhere(unshared, 400);
      unshared.runMillis(20_000);

      assertThat(unshared.takeRejectedShare()).isGreaterThan(10 * MAX_REJECTED_SHARE);
    }

    @Test
    void areInUseWhileWorkWaits() {
      submitEverywhere(fleet, 400);
      fleet.runMillis(1_000);
      int idle = 0;
      for (int i = 0; i < 100; i++) {
        fleet.runMillis(100);
        idle += ALL_SLOTS - fleet.runningRequests();
      }

      assertThat(idle / 100.0).isLessThan(0.05 * ALL_SLOTS);
    }

    @Test
    void passFromHeavyWorkspacesToLightOnes() {
      fleet.owners().get(0).submit("heavy", 4_000);
      fleet.owners().get(1).submit("heavy", 4_000);
      fleet.runMillis(3_000);
      SlotFleet.Daemon light = fleet.owners().get(2);
      light.submit("light", 4_000);
      fleet.runMillis(2_000);
      int before = light.completed();
      int beforeHeavy = fleet.owners().get(0).completed() + fleet.owners().get(1).completed();
      fleet.runMillis(5_000);

      int heavy =
          fleet.owners().get(0).completed() + fleet.owners().get(1).completed() - beforeHeavy;
      assertThat(light.completed() - before).isAtLeast(heavy * 3 / 4);
    }

    @Test
    void areNotOfferedAtEnginesThatLoadWeights() {
      submitEverywhere(fleet, 400);
      fleet.runMillis(2_000);
      fleet.takeRejectedShare();
      for (int i = 0; i < ENGINES; i++) {
        fleet.setLoading("engine" + i, true);
        fleet.runMillis(900);
        fleet.setLoading("engine" + i, false);
      }

      // The engines start to reject without notice here, so each owner may find out once.
      assertThat(fleet.rejections()).isAtMost(ENGINES * DAEMONS);
    }

    /** Daemons without items send none, whatever the number of daemons and engines. */
    @Test
    void costFewMessagesForEachOwner() {
      SlotFleet large = new SlotFleet(4 * DAEMONS, 4 * ENGINES, true);
      large.runMillis(10_000);
      assertThat(large.messages()).isEqualTo(0);
      large.owners().get(0).submit("first", 4_000);
      large.owners().get(1).submit("second", 4_000);
      large.runMillis(10_000);

      // Five a second, and the one at the start.
      assertThat(large.messages()).isAtMost(2 * (5 * 10 + 1));
    }

    @Test
    void costNoMoreAfterDemandThatCameAndWent() {
      SlotFleet.Daemon owner = fleet.owners().get(0);
      owner.submit("only", 1);
      while (owner.completed() == 0) {
        fleet.runMillis(10);
      }
      // One message returns the lease, and the next one states that nothing is used.
      int last = fleet.messages() + 2;
      while (fleet.messages() < last) {
        fleet.runMillis(10);
      }
      fleet.runMillis(50);
      int before = fleet.messages();
      owner.submit("only", 4_000);
      fleet.runMillis(10_000);

      assertThat(fleet.messages() - before).isAtMost(5 * 10 + 1);
    }

    @Test
    void goToTheOnlyOwnerThatWantsThem() {
      fleet.owners().get(0).submit("only", 400);
      fleet.runMillis(500);

      assertThat(fleet.runningRequests()).isEqualTo(ALL_SLOTS);
    }
  }

  @Nested
  class Failures {
    @Test
    void ofTheCoordinatorLeaveAllWorkDone() {
      submitEverywhere(fleet, 300);
      fleet.runMillis(1_000);
      SlotFleet.Daemon coordinator = fleet.coordinator();
      coordinator.kill();
      fleet.runMillis(LONGEST_OUTAGE_MILLIS);
      fleet.takeRejectedShare();
      submitEverywhere(fleet, 300);
      fleet.runMillis(15_000);

      assertThat(fleet.coordinator()).isNotEqualTo(coordinator);
      assertThat(fleet.takeRejectedShare()).isLessThan(MAX_REJECTED_SHARE);
      fleet.runMillis(30_000);
      fleet.owners().stream()
          .filter(daemon -> daemon != coordinator)
          .forEach(daemon -> assertThat(daemon.waiting()).isEqualTo(0));
    }

    /** The suspended coordinator resumes after its leases have ended. */
    @Test
    void ofSuspendedCoordinatorsLeaveWorkGoingOn() {
      submitEverywhere(fleet, 2_000);
      fleet.runMillis(1_000);
      SlotFleet.Daemon coordinator = fleet.coordinator();
      coordinator.pause();
      fleet.runMillis(4_000);
      int before = completedBy(coordinator);
      fleet.runMillis(1_000);
      assertThat(completedBy(coordinator)).isGreaterThan(before);
      coordinator.resume();
      fleet.runMillis(LONGEST_OUTAGE_MILLIS);
      fleet.takeRejectedShare();
      fleet.runMillis(5_000);

      assertThat(fleet.takeRejectedShare()).isLessThan(MAX_REJECTED_SHARE);
    }

    private int completedBy(SlotFleet.Daemon excluded) {
      return fleet.daemons().stream()
          .filter(daemon -> daemon != excluded)
          .mapToInt(SlotFleet.Daemon::completed)
          .sum();
    }

    @Test
    void ofLinksToHalfOfTheOwnersLeaveThemTheirUse() {
      submitEverywhere(fleet, 2_000);
      fleet.runMillis(1_000);
      fleet.owners().subList(0, DAEMONS / 2).forEach(daemon -> daemon.cutLinks(true));
      fleet.runMillis(4_000);
      SlotFleet.Daemon cut = fleet.owners().get(0);
      int before = cut.completed();
      fleet.runMillis(4_000);
      assertThat(cut.completed()).isGreaterThan(before);
      fleet.owners().forEach(daemon -> daemon.cutLinks(false));
      fleet.runMillis(3_000);
      fleet.takeRejectedShare();
      fleet.runMillis(5_000);

      assertThat(fleet.takeRejectedShare()).isLessThan(MAX_REJECTED_SHARE);
    }

    @Test
    void ofAnOwnerReturnItsSlots() {
      SlotFleet.Daemon lost = fleet.owners().get(0);
      lost.submit("lost", 4_000);
      fleet.runMillis(2_000);
      lost.kill();
      SlotFleet.Daemon other = fleet.owners().get(1);
      other.submit("other", 4_000);
      fleet.runMillis(5_000);

      assertThat(fleet.runningRequests()).isEqualTo(ALL_SLOTS);
      assertThat(fleet.takeRejectedShare()).isLessThan(MAX_REJECTED_SHARE);
    }

    @Test
    void ofTheStoreLeaveLeasesThatEndRenewed() {
      submitEverywhere(fleet, 2_000);
      fleet.runMillis(1_000);
      fleet.daemons().forEach(daemon -> daemon.cutStore(true));
      fleet.runMillis(5_000);

      assertThat(fleet.takeRejectedShare()).isLessThan(MAX_REJECTED_SHARE);
    }

    @Test
    void ofProcessesThatRestartLeaveThemNoLeases() {
      submitEverywhere(fleet, 2_000);
      fleet.runMillis(2_000);
      SlotFleet.Daemon killed = fleet.owners().get(0);
      killed.kill();
      fleet.takeRejectedShare();
      SlotFleet.Daemon restarted = fleet.start(killed.vm(), "restarted");
      fleet.runMillis(3_000);
      restarted.submit("restarted", 400);
      fleet.runMillis(6_000);

      assertThat(restarted.completed()).isGreaterThan(0);
      assertThat(fleet.takeRejectedShare()).isLessThan(MAX_REJECTED_SHARE);
    }
  }
}
