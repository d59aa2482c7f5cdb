package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.amaranthstream.platform.SimulatedStoreClient.WriteFault;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Submissions that are answered "not run" never run, whatever becomes of their writes. */
class RefusedSubmissionsTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(12);

  private static boolean isNotRun(Result<?> result) {
    return result instanceof Result.Failure<?> failure && failure.error().code().isNotRun();
  }

  @Nested
  class AtShutdown extends JobServiceFixture {
    private final JobSpec job = SampleJobs.job("job", 1, 5, 5);

    private CompletableFuture<Result<JobAcknowledgement>> submitWithFault(
        WriteFault fault, Duration lateBy) {
      first.store().setWriteFault(fault, lateBy);
      CompletableFuture<Result<JobAcknowledgement>> reply = first.jobs().submit(job, TIMEOUT);
      fleet.runMillis(300);
      return reply;
    }

    private void shutDownBoth() {
      first.shutDown();
      second.shutDown();
    }

    /** Guards against a refusal while the own write is open (review, case 7). */
    @Test
    void areAcceptedIfTheirWriteWasDone() {
      final CompletableFuture<Result<JobAcknowledgement>> reply =
          submitWithFault(WriteFault.ANSWER_LOST, Duration.ZERO);
      first.store().setWriteFault(WriteFault.NONE, Duration.ZERO);
      shutDownBoth();

      assertThat(isAccepted(fleet.await(reply))).isTrue();
    }

    /** Guards against a peer that denies a job which it is storing itself. */
    @Test
    void areNotDeniedByPeerThatStoresTheJob() {
      submitWithFault(WriteFault.APPLIED_LATE, Duration.ofSeconds(3));
      shutDownBoth();
      Result<JobAcknowledgement> again = fleet.await(second.jobs().submit(job, TIMEOUT));

      assertThat(isNotRun(again)).isFalse();
    }

    @Test
    void areRefusedIfNoDaemonHasBegunToStoreThem() {
      shutDownBoth();
      assertThat(code(submit(first, job))).isEqualTo(ResultCode.NOT_RUN_SHUTTING_DOWN);
    }

    @Test
    void areAnsweredWhenTheProcessExits() {
      final CompletableFuture<Result<JobAcknowledgement>> reply =
          submitWithFault(WriteFault.APPLIED_LATE, Duration.ofSeconds(20));
      shutDownBoth();
      fleet.run(Duration.ofSeconds(6));
      first.jobs().failPendingSubmissions();

      assertThat(code(fleet.await(reply))).isEqualTo(ResultCode.OUTCOME_UNKNOWN_SHUTTING_DOWN);
    }

    /** Guards against a job that waits for the exit of the daemon that has stored it. */
    @Test
    void areHandedOffOnceTheyAreStored() {
      second.cutLinks(true);
      final CompletableFuture<Result<JobAcknowledgement>> reply =
          submitWithFault(WriteFault.ANSWER_LOST, Duration.ZERO);
      first.store().setWriteFault(WriteFault.NONE, Duration.ZERO);
      first.jobs().handOff();
      fleet.runMillis(500);
      second.cutLinks(false);

      assertThat(isAccepted(fleet.await(reply))).isTrue();
      fleet.runMillis(1_000);
      assertThat(fleet.ownerIs(JOB, second)).isTrue();
    }
  }

  @Nested
  class Repeated extends JobServiceFixture {
    private final JobSpec job = SampleJobs.job("job", 1, 5, 5);

    /** The second submission waits for the write of the first, whose outcome was unknown. */
    @Test
    void areAcceptedOnceTheStoreIsBack() {
      first.cutLinks(true);
      first.store().setSilent(true);
      assertThat(code(submit(first, job))).isEqualTo(ResultCode.OUTCOME_UNKNOWN_DEADLINE);
      CompletableFuture<Result<JobAcknowledgement>> again =
          first.jobs().submit(job, SUBMIT_TIMEOUT);
      first.store().setSilent(false);

      assertThat(isAccepted(fleet.await(again))).isTrue();
    }

    /** The own write is not retried for a job that a peer owns. */
    @Test
    void giveBackTheirMemoryOnceAnotherDaemonOwnsTheJob() {
      first.store().setSilent(true);
      assertThat(isAccepted(submit(first, job))).isTrue();
      fleet.run(SUBMIT_TIMEOUT.plusSeconds(2));

      assertThat(first.memory().usedBytes()).isEqualTo(0);
    }

    /** Guards against a refusal while a peer may store the job for an earlier submission. */
    @Test
    void areNotRefusedWhilePeerMayStoreTheJob() {
      first.store().setRefused(true);
      second.store().setWriteFault(WriteFault.APPLIED_LATE, Duration.ofSeconds(20));
      second.loseAnswers(true);
      assertThat(isNotRun(submit(first, job))).isFalse();
      second.cutLinks(true);

      assertThat(isNotRun(submit(first, job))).isFalse();
    }
  }

  /** A caller that submits a job until it is accepted, while daemons shut down. */
  private static final class Scenario {
    private static final int DAEMONS = 3;
    private static final int MAX_ATTEMPTS = 3;

    private final JobFleet fleet = new JobFleet();
    private final JobSpec job = SampleJobs.job("job", 1, 5, 5);
    private final List<Result<JobAcknowledgement>> replies = new ArrayList<>();
    private final Random random;

    private Scenario(long seed) {
      random = new Random(seed);
      startAll();
    }

    private void startAll() {
      for (int i = 1; i <= DAEMONS; i++) {
        fleet.start("vm-" + i);
      }
      fleet.runMillis(600);
      fleet.addServer("s1", 4, 1);
    }

    private JobFleet.Node anyNode() {
      List<JobFleet.Node> running = fleet.runningNodes();
      return running.get(random.nextInt(running.size()));
    }

    private void disturb(JobFleet.Node node) {
      switch (random.nextInt(5)) {
        case 0 -> node.store().setWriteFault(WriteFault.ANSWER_LOST, Duration.ZERO);
        case 1 ->
            node.store()
                .setWriteFault(WriteFault.APPLIED_LATE, Duration.ofMillis(random.nextInt(6_000)));
        case 2 -> node.store().setRefused(true);
        case 3 -> node.loseAnswers(true);
        default -> {}
      }
    }

    private void mend(JobFleet.Node node) {
      node.store().setWriteFault(WriteFault.NONE, Duration.ZERO);
      node.store().setRefused(false);
      node.loseAnswers(false);
    }

    private void submitUntilAccepted() {
      fleet.runningNodes().forEach(this::disturb);
      for (int i = 0; i < MAX_ATTEMPTS && replies.stream().noneMatch(this::isAccepted); i++) {
        final CompletableFuture<Result<JobAcknowledgement>> reply =
            anyNode().jobs().submit(job, Duration.ofMillis(500 + random.nextInt(6_000)));
        fleet.runMillis(random.nextInt(600));
        fleet.runningNodes().stream()
            .filter(node -> random.nextBoolean())
            .forEach(JobFleet.Node::shutDown);
        fleet.runMillis(random.nextInt(600));
        fleet.runningNodes().forEach(this::mend);
        replies.add(fleet.await(reply));
      }
    }

    private boolean isAccepted(Result<JobAcknowledgement> reply) {
      return reply instanceof Result.Success;
    }

    private void verify() {
      fleet.run(Duration.ofSeconds(4));
      fleet.runningNodes().forEach(JobFleet.Node::kill);
      startAll();
      fleet.run(Duration.ofSeconds(30));
      boolean isRefused = replies.stream().allMatch(RefusedSubmissionsTest::isNotRun);
      assertWithMessage("a job that was refused runs: %s", replies)
          .that(isRefused && !fleet.servers().order().isEmpty())
          .isFalse();
    }
  }

  @Property(tries = 150, seed = "20261207")
  void refusedJobsNeverRun(@ForAll long seed) {
    Scenario scenario = new Scenario(seed);
    scenario.submitUntilAccepted();
    scenario.verify();
  }
}
