package org.amaranthstream.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.amaranthstream.ids.FencingNumber;
import org.amaranthstream.platform.SimulatedStore;
import org.amaranthstream.platform.SimulatedStoreClient.WriteFault;
import org.amaranthstream.time.PausableTimerService;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LeaderLeaseTest {
  private static final Duration ORDER_TURN = Duration.ofSeconds(3);

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final SimulatedStore store = new SimulatedStore(timers);
  private final FleetTestNode first = new FleetTestNode("vm-1", "i1", store, timers);
  private final FleetTestNode second = new FleetTestNode("vm-2", "i2", store, timers);
  private final List<Act> acts = new ArrayList<>();
  private final Set<FleetTestNode> killed = new HashSet<>();

  private record Act(String vm, long atNanos, FencingNumber fence) {}

  private void run(Duration duration) {
    timers.advance(duration);
  }

  private void runSeconds(double seconds) {
    run(Duration.ofMillis((long) (seconds * 1000)));
  }

  /** Lets each node act every 100 ms whenever it is allowed to. */
  private void actPeriodically(FleetTestNode... nodes) {
    for (FleetTestNode node : nodes) {
      timers.every(Duration.ofMillis(100), () -> act(node));
    }
  }

  private void kill(FleetTestNode node) {
    killed.add(node);
    node.store().setSilent(true);
  }

  private void act(FleetTestNode node) {
    if (killed.contains(node)) {
      return;
    }
    Optional<FencingNumber> fence = node.leaderLease().issueForAction();
    fence.ifPresent(
        number -> acts.add(new Act(node.self().vm().value(), timers.nowNanos(), number)));
  }

  private void assertActsOfHoldersAreApart() {
    for (int i = 1; i < acts.size(); i++) {
      Act before = acts.get(i - 1);
      Act after = acts.get(i);
      if (!before.vm().equals(after.vm())) {
        assertThat(after.atNanos() - before.atNanos()).isAtLeast(ORDER_TURN.toNanos());
        assertThat(after.fence().value()).isGreaterThan(before.fence().value());
      }
    }
  }

  private long distinctHolders() {
    return acts.stream().map(Act::vm).distinct().count();
  }

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

  /** The leader's links to the engines may fail while its lease is renewed in the store. */
  @Nested
  class Ineligibility {
    @Test
    void holderStopsAtOnceAndTheNextOneActsAfterTheGap() {
      first.start();
      runSeconds(10);
      second.start();
      actPeriodically(first, second);
      runSeconds(2);
      first.leaderLease().setEligible(false);

      assertThat(first.leaderLease().current()).isEmpty();
      runSeconds(4.5);
      assertThat(distinctHolders()).isEqualTo(2);
      assertActsOfHoldersAreApart();
    }

    @Test
    void daemonThatIsEligibleAgainWaitsItsTurn() {
      first.start();
      runSeconds(10);
      second.start();
      actPeriodically(first, second);
      runSeconds(2);
      first.leaderLease().setEligible(false);
      runSeconds(0.1);
      first.leaderLease().setEligible(true);
      runSeconds(10);
      second.leaderLease().setEligible(false);
      runSeconds(10);

      assertActsOfHoldersAreApart();
      assertThat(first.leaderLease().current()).isPresent();
    }

    @Test
    void releaseIsRepeatedUntilTheStoreConfirmsIt() {
      first.start();
      runSeconds(10);
      second.start();
      actPeriodically(first, second);
      runSeconds(2);
      first.store().setRefused(true);
      first.leaderLease().setEligible(false);
      runSeconds(1);
      first.store().setRefused(false);
      runSeconds(6);

      assertThat(second.leaderLease().current()).isPresent();
      assertActsOfHoldersAreApart();
    }

    @Test
    void ineligibleDaemonsLeaveTheLeaseAlone() {
      first.leaderLease().setEligible(false);
      first.start();
      runSeconds(10);

      assertThat(first.leaderLease().isHeld()).isFalse();
      first.leaderLease().setEligible(true);
      runSeconds(10);
      assertThat(first.leaderLease().current()).isPresent();
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
