package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.platform.SimulatedStoreClient.WriteFault;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Takeover of jobs whose owner is killed, suspended or shut down. */
class JobTakeoverTest extends JobServiceFixture {
  private final JobSpec job = SampleJobs.job("job", 1, 5, 90, 90, 3);

  @Test
  void jobOfKilledDaemonIsCompletedByAnother() {
    submit(first, job);
    fleet.runMillis(800);
    List<ItemId> before = ids(fleet.read(second, JOB));
    first.kill();
    fleet.run(Duration.ofSeconds(15));

    assertThat(ids(fleet.read(second, JOB)).subList(0, before.size())).isEqualTo(before);
    assertAllComplete(job, fleet.read(second, JOB));
  }

  @Test
  void jobsSurviveTheEndOfAllDaemons() {
    submit(first, job);
    first.kill();
    second.kill();
    fleet.runMillis(800);
    fleet.start("vm-1");
    fleet.start("vm-2");
    fleet.runMillis(500);
    fleet.addServer("s1", 4, 1);
    fleet.run(Duration.ofSeconds(15));

    assertAllComplete(job, fleet.read(fleet.runningNodes().get(0), JOB));
  }

  /**
   * All processes are killed while a step waits for its longest items. Without the checkpoints, the
   * items would restart from the beginning and miss the time of the test.
   */
  @Test
  void longItemsResumeFromTheirCheckpoint() {
    JobSpec step = SampleJobs.job("step", 1, 200, 200);
    submit(first, step);
    fleet.runMillis(3_500);
    first.kill();
    second.kill();
    fleet.runMillis(500);
    fleet.start("vm-1");
    fleet.start("vm-2");
    fleet.addServer("s1", 4, 1);
    fleet.addServer("s2", 4, 1);
    fleet.runMillis(2_500);

    assertAllComplete(step, fleet.read(fleet.runningNodes().get(0), step.id()));
  }

  /** With a read by each daemon, the reads after many losses grow with the square of the fleet. */
  @Test
  void onlyTheCandidatesReadTheJobsAfterLoss() {
    for (int i = 3; i <= 15; i++) {
      fleet.start("vm-" + i);
    }
    fleet.run(Duration.ofSeconds(12));
    fleet.addServer("s1", 4, 1);
    fleet.addServer("s2", 4, 1);
    submit(first, job);
    int before = fleet.store().listings(JobKeys.OWNERS);
    first.kill();
    fleet.run(Duration.ofSeconds(15));

    int candidates = 3;
    int backstopSweeps = 3 * candidates;
    assertThat(fleet.store().listings(JobKeys.OWNERS) - before)
        .isAtMost(candidates + backstopSweeps);
    assertAllComplete(job, fleet.read(second, JOB));
  }

  /** The candidates are lost in the same moment as the owner, so nobody is left to act at once. */
  @Test
  void jobIsTakenOverIfItsCandidatesAreLostAsWell() {
    for (int i = 3; i <= 8; i++) {
      fleet.start("vm-" + i);
    }
    fleet.run(Duration.ofSeconds(3));
    fleet.addServer("s1", 4, 1);
    fleet.addServer("s2", 4, 1);
    submit(first, job);
    List<EntryVmId> candidates =
        TakeoverCandidates.of(
            EntryVmId.of("vm-1"),
            fleet.runningNodes().stream().map(node -> EntryVmId.of(node.name())).toList());
    fleet.runningNodes().stream()
        .filter(node -> candidates.contains(EntryVmId.of(node.name())))
        .forEach(JobFleet.Node::kill);
    first.kill();
    fleet.run(Duration.ofSeconds(20));

    assertAllComplete(job, fleet.read(fleet.runningNodes().get(0), JOB));
  }

  /** Each owner saves the texts anew from the start before it is killed in turn. */
  @Test
  void checkpointsSurviveSeveralOwners() {
    JobSpec step = SampleJobs.job("step", 1, 200, 200);
    submit(first, step);
    for (int i = 0; i < 3; i++) {
      fleet.runMillis(2_000);
      fleet.runningNodes().forEach(JobFleet.Node::kill);
      fleet.runMillis(500);
      fleet.start("vm-1");
      fleet.addServer("s1", 4, 1);
    }
    fleet.runMillis(1_500);

    assertAllComplete(step, fleet.read(fleet.runningNodes().get(0), step.id()));
  }

  /** After a crash of all daemons, jobs that are still open are taken over first. */
  @Test
  void takeoverOfEndedJobsIsDelayed() {
    submit(first, job);
    fleet.await(first.jobs().end(JOB));
    first.kill();
    second.kill();
    JobFleet.Node again = fleet.start("vm-1");
    fleet.run(Duration.ofSeconds(5));

    assertThat(again.owns(JOB)).isFalse();
    fleet.run(Duration.ofSeconds(30));
    assertThat(again.owns(JOB)).isTrue();
  }

  /** The successor's time of day is ahead by more than the time after which items are given up. */
  @Test
  void successorWithAnotherTimeOfDayGivesUpNoItem() {
    second.stepTimeOfDay(Duration.ofMinutes(1));
    submit(first, job);
    fleet.runMillis(300);
    first.kill();
    fleet.run(Duration.ofSeconds(20));

    assertAllComplete(job, fleet.read(second, JOB));
  }

  @Test
  void suspendedOwnerListsNoResultsAfterTakeover() {
    submit(first, job);
    fleet.runMillis(800);
    first.pause();
    fleet.run(Duration.ofSeconds(12));
    ImmutableList<ItemResult> results = fleet.read(second, JOB);
    first.resume();
    fleet.run(Duration.ofSeconds(5));

    assertAllComplete(job, results);
    assertThat(ids(fleet.read(second, JOB))).isEqualTo(ids(results));
    assertThat(first.owns(JOB)).isFalse();
  }

  /**
   * A daemon whose watch misses the restart of another one, as in the gap of a compaction, sees the
   * job of the new incarnation but not its registration.
   */
  @Test
  void daemonThatMissedRestartTakesNoJobFromNewIncarnation() {
    first.kill();
    second.store().setSilent(true);
    final JobFleet.Node restarted = fleet.start("vm-1");
    fleet.runMillis(300);
    second.store().setSilent(false);
    fleet.addServer("s1", 4, 1);
    fleet.addServer("s2", 4, 1);
    submit(restarted, job);
    fleet.runMillis(300);
    fleet.read(second, JOB);
    fleet.runMillis(1_000);

    assertThat(fleet.ownerIs(JOB, restarted)).isTrue();
    assertThat(second.owns(JOB)).isFalse();
  }

  @Test
  void shutdownHandsOffPartialOutput() {
    submit(first, job);
    fleet.runMillis(1_000);
    first.shutDown();
    fleet.run(Duration.ofMillis(1_600));

    assertThat(second.owns(JOB)).isTrue();
    assertAllComplete(job, fleet.read(second, JOB));
  }

  @Nested
  class HandoffsWithoutAnswer {
    private final JobSpec step = SampleJobs.job("step", 1, 400, 400);

    @BeforeEach
    void submitStep() {
      submit(first, step);
      fleet.runMillis(500);
    }

    /** Guards against two daemons that hold a job whose handoff got no answer. */
    @Test
    void leaveTheJobToItsNewOwner() {
      second.loseAnswers(true);
      first.jobs().handOff();
      fleet.runMillis(2_000);
      second.loseAnswers(false);

      assertThat(fleet.ownerIs(step.id(), second)).isTrue();
      assertThat(first.owns(step.id())).isFalse();
    }

    @Test
    void leaveTheJobToItsOwnerIfTheTakeoverIsLate() {
      second.store().setWriteFault(WriteFault.APPLIED_LATE, Duration.ofSeconds(3));
      second.loseAnswers(true);
      first.jobs().handOff();
      fleet.runMillis(2_000);
      second.store().setWriteFault(WriteFault.NONE, Duration.ZERO);
      fleet.runMillis(4_000);

      assertThat(fleet.ownerIs(step.id(), first)).isTrue();
      assertThat(first.owns(step.id())).isTrue();
      assertThat(second.owns(step.id())).isFalse();
    }

    /** Guards against an owner that keeps a job because a write of its own was not confirmed. */
    @Test
    void leaveTheJobToOneDaemonIfTheOwnersWritesAreLateToo() {
      first.store().setWriteFault(WriteFault.APPLIED_LATE, Duration.ofSeconds(20));
      second.store().setWriteFault(WriteFault.APPLIED_LATE, Duration.ofSeconds(4));
      second.loseAnswers(true);
      first.jobs().handOff();
      fleet.runMillis(3_000);
      first.store().setWriteFault(WriteFault.NONE, Duration.ZERO);
      fleet.runMillis(1_050);

      assertThat(first.owns(step.id())).isTrue();
      assertThat(fleet.ownerIs(step.id(), first)).isTrue();
    }
  }

  /** The owner writes its record anew while pages of results are on their way. */
  @Test
  void resultsThatConflictWithTheRecordOfTheSameOwnerAreListed() {
    submit(first, job);
    for (int i = 0; i < 1_000; i++) {
      fleet.runMillis(2);
      fleet.store().entry(JobKeys.owner(JOB)).ifPresent(e -> fleet.store().put(e.key(), e.value()));
    }
    fleet.run(Duration.ofSeconds(20));

    assertAllComplete(job, fleet.read(second, JOB));
  }

  /** Guards against open jobs that their owner removes after the retention of ended ones. */
  @Test
  void openJobIsKeptForAsLongAsItIsOpen() {
    submit(first, job);
    fleet.run(Duration.ofSeconds(200));

    assertAllComplete(job, fleet.read(second, JOB));
  }
}
