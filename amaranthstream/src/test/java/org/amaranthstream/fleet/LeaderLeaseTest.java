package org.amaranthstream.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.amaranthstream.platform.SimulatedStoreClient.WriteFault;
import org.amaranthstream.time.PausableTimerService;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LeaderLeaseTest extends LeaderLeaseFixture {

  @Nested
  class Acquisition {
    @Test
    void oneNodeHoldsTheLease() {
      first.start();
      second.start();
      runSeconds(20);

      assertThat(first.leaderLease().isHeld() ^ second.leaderLease().isHeld()).isTrue();
    }

    @Test
    void waitsBeforeTheFirstActAfterAnUnknownHolder() {
      first.start();
      runSeconds(3);

      assertThat(first.leaderLease().isHeld()).isTrue();
      assertThat(first.leaderLease().current()).isEmpty();
      runSeconds(4);
      assertThat(first.leaderLease().current()).isPresent();
    }

    @Test
    void adoptsAcquisitionWhoseResponseWasLost() {
      first.start();
      runSeconds(0.2);
      first.store().setWriteFault(WriteFault.ANSWER_LOST, Duration.ZERO);
      runSeconds(3);
      first.store().setWriteFault(WriteFault.NONE, Duration.ZERO);
      runSeconds(12);

      assertThat(first.leaderLease().current()).isPresent();
    }
  }

  @Nested
  class Handover {
    @Test
    void nextHolderActsAfterTheGapOnceReleased() {
      first.start();
      runSeconds(10);
      second.start();
      actPeriodically(first, second);
      runSeconds(2);
      first.leaderLease().release();
      runSeconds(4.5);

      assertThat(distinctHolders()).isEqualTo(2);
      assertActsOfHoldersAreApart();
    }

    @Test
    void nextHolderActsAtOnceIfTheReleasedLeaseHadNoRecentActs() {
      first.start();
      runSeconds(10);
      second.start();
      runSeconds(2);
      first.leaderLease().release();
      runSeconds(1);

      assertThat(second.leaderLease().current()).isPresent();
    }

    /** A rolling restart stops the new holder while it still waits for the previous one. */
    @Test
    void releaseDuringTheWaitPassesOnTheRemainingWait() {
      first.start();
      runSeconds(10);
      second.start();
      FleetTestNode third = new FleetTestNode("vm-3", "i3", store, timers);
      actPeriodically(first, second, third);
      runSeconds(2);
      first.store().setSilent(true);
      store.expire(first.session().lease().get());
      runSeconds(0.8);
      assertThat(second.leaderLease().isHeld()).isTrue();
      third.start();
      runSeconds(0.3);
      second.leaderLease().release();
      runSeconds(20);

      assertThat(distinctHolders()).isEqualTo(2);
      assertActsOfHoldersAreApart();
    }

    @Test
    void releaseByAnEarlierHolderDoesNotShortenTheWait() {
      first.start();
      runSeconds(10);
      second.start();
      runSeconds(2);
      first.leaderLease().release();
      runSeconds(1);
      FleetTestNode third = new FleetTestNode("vm-3", "i3", store, timers);
      third.start();
      actPeriodically(second, third);
      runSeconds(1);
      second.store().setSilent(true);
      runSeconds(15);

      assertThat(distinctHolders()).isEqualTo(2);
      assertActsOfHoldersAreApart();
    }
  }

  /** The process of the holder, or of all daemons, is killed and restarted. */
  @Nested
  class Restarts {
    private final FleetTestNode restarted = new FleetTestNode("vm-1", "i1-again", store, timers);

    @Test
    void restartedHolderActsWithoutWaitingForTheOldLeaseToExpire() {
      first.start();
      runSeconds(10);
      actPeriodically(first, restarted);
      runSeconds(1);
      kill(first);
      runSeconds(1);
      restarted.start();
      runSeconds(1.5);

      assertThat(restarted.leaderLease().current()).isPresent();
      assertThat(acts.get(acts.size() - 1).fence().value())
          .isGreaterThan(acts.get(0).fence().value());
    }

    /** The process restarts after its lease has expired, while a new holder waits to act. */
    @Test
    void lastActingVmReplacesHolderThatHasNotStarted() {
      first.start();
      runSeconds(10);
      second.start();
      actPeriodically(first, second, restarted);
      runSeconds(1);
      kill(first);
      runSeconds(4);
      assertThat(second.leaderLease().isHeld()).isTrue();
      restarted.start();
      runSeconds(1.5);

      assertThat(restarted.leaderLease().current()).isPresent();
      runSeconds(10);
      assertThat(distinctHolders()).isEqualTo(1);
    }

    @Test
    void restartedVmDoesNotReplaceHolderThatHasStarted() {
      first.start();
      runSeconds(10);
      second.start();
      actPeriodically(first, second, restarted);
      runSeconds(1);
      kill(first);
      runSeconds(12);
      restarted.start();
      runSeconds(10);

      assertThat(second.leaderLease().current()).isPresent();
      assertActsOfHoldersAreApart();
    }

    @Test
    void restartedHolderThatNeverStartedWaits() {
      second.start();
      runSeconds(10);
      actPeriodically(second, restarted);
      runSeconds(1);
      second.store().setSilent(true);
      store.expire(second.session().lease().get());
      first.start();
      runSeconds(1.5);
      assertThat(first.leaderLease().isHeld()).isTrue();
      kill(first);
      runSeconds(0.5);
      restarted.start();
      runSeconds(20);

      assertThat(distinctHolders()).isEqualTo(2);
      assertActsOfHoldersAreApart();
    }

    /** A rolling restart follows right after the kill, while acts may still be in flight. */
    @Test
    void releaseRightAfterRestartCountsTheActsBeforeTheKill() {
      first.start();
      runSeconds(10);
      second.start();
      actPeriodically(first, second);
      runSeconds(1);
      kill(first);
      restarted.start();
      runSeconds(1.2);
      assertThat(restarted.leaderLease().isHeld()).isTrue();
      restarted.leaderLease().release();
      runSeconds(20);

      assertThat(distinctHolders()).isEqualTo(2);
      assertActsOfHoldersAreApart();
    }

    @Test
    void replacementVmWithTheSameNameWaits() {
      first.start();
      runSeconds(10);
      FleetTestNode replacement =
          new FleetTestNode("vm-1", "10.0.9.9", "i9", store, timers, timers);
      actPeriodically(first, replacement);
      runSeconds(1);
      kill(first);
      long before = timers.nowNanos();
      replacement.start();
      runSeconds(20);

      Act last = acts.get(acts.size() - 1);
      Act firstOfReplacement =
          acts.stream().filter(act -> act.fence().equals(last.fence())).findFirst().get();
      assertThat(firstOfReplacement.atNanos() - before).isAtLeast(ORDER_TURN.toNanos());
    }
  }

  @Nested
  class Loss {
    @Test
    void partitionedHolderStopsBeforeTheNextOneActs() {
      first.start();
      runSeconds(10);
      second.start();
      actPeriodically(first, second);
      runSeconds(2);
      first.store().setSilent(true);
      runSeconds(20);
      first.store().setSilent(false);
      runSeconds(10);

      assertThat(distinctHolders()).isEqualTo(2);
      assertActsOfHoldersAreApart();
    }

    @Test
    void partitionedHolderStopsWhenItsLeaseIsRevoked() {
      first.start();
      runSeconds(10);
      second.start();
      actPeriodically(first, second);
      runSeconds(2);
      first.store().setSilent(true);
      store.expire(first.session().lease().get());
      runSeconds(20);

      assertThat(distinctHolders()).isEqualTo(2);
      assertActsOfHoldersAreApart();
    }

    @Test
    void suspendedHolderDoesNotActOnAnExpiredLease() {
      PausableTimerService paused = new PausableTimerService(timers);
      FleetTestNode node = new FleetTestNode("vm-0", "i0", store, paused, timers);
      node.start();
      runSeconds(10);
      assertThat(node.leaderLease().current()).isPresent();
      second.start();
      actPeriodically(second);
      runSeconds(2);
      paused.pause();
      runSeconds(10);
      paused.resume();

      assertThat(node.leaderLease().issueForAction()).isEmpty();
      assertThat(distinctHolders()).isEqualTo(1);
    }
  }
}
