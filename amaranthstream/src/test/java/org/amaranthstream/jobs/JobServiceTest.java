package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.platform.SimulatedStoreClient.WriteFault;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Submissions, results, items and ends of batch jobs at two daemons. */
class JobServiceTest extends JobServiceFixture {

  @Nested
  class Submissions {
    private final JobSpec job = SampleJobs.job("job", 1, 5, 5);

    @Test
    void acceptsResubmittedJobOnlyOnce() {
      assertThat(isAccepted(submit(first, job))).isTrue();
      assertThat(isAccepted(submit(first, job))).isTrue();
      assertThat(isAccepted(submit(second, job))).isTrue();
      fleet.run(Duration.ofSeconds(3));

      assertThat(fleet.servers().starts(ItemId.of("job-0"))).isEqualTo(1);
    }

    @Test
    void acceptsOnceIfTheStoreResponseIsLost() {
      first.store().setWriteFault(WriteFault.ANSWER_LOST, Duration.ZERO);
      CompletableFuture<Result<JobAcknowledgement>> reply =
          first.jobs().submit(job, SUBMIT_TIMEOUT);
      fleet.runMillis(500);
      first.store().setWriteFault(WriteFault.NONE, Duration.ZERO);

      assertThat(isAccepted(fleet.await(reply))).isTrue();
    }

    @Test
    void refusesJobThatNoDaemonCanStore() {
      first.store().setRefused(true);
      second.store().setRefused(true);
      assertThat(code(submit(first, job))).isEqualTo(ResultCode.NOT_RUN_OVERLOADED);

      first.store().setRefused(false);
      second.store().setRefused(false);
      fleet.run(Duration.ofSeconds(40));
      assertThat(fleet.servers().starts(ItemId.of("job-0"))).isEqualTo(0);
    }

    @Test
    void reportsUnknownOutcomeIfTheWriteMayStillTakeEffect() {
      first.store().setSilent(true);
      second.store().setSilent(true);

      assertThat(code(submit(first, job))).isEqualTo(ResultCode.OUTCOME_UNKNOWN_DEADLINE);
    }

    @Test
    void runsJobThatIsStoredAfterUnknownOutcomeWasReported() {
      first.store().setWriteFault(WriteFault.APPLIED_LATE, Duration.ofSeconds(8));
      first.cutLinks(true);
      Result<JobAcknowledgement> reply = submit(first, job);
      first.store().setWriteFault(WriteFault.NONE, Duration.ZERO);
      fleet.run(Duration.ofSeconds(20));

      assertThat(reply).isInstanceOf(Result.Failure.class);
      assertAllComplete(job, fleet.read(first, JOB));
    }

    @Test
    void relaysToPeerIfTheStoreIsUnreachable() {
      first.store().setSilent(true);

      assertThat(isAccepted(submit(first, job))).isTrue();
      fleet.run(Duration.ofSeconds(3));
      assertThat(second.owns(JOB)).isTrue();
    }
  }

  @Nested
  class Results {
    private final JobSpec job = SampleJobs.job("job", 1, 5, 40, 3, 7);

    @Test
    void areTheSameAtEveryDaemon() {
      submit(first, job);
      fleet.run(Duration.ofSeconds(3));

      ImmutableList<ItemResult> results = fleet.read(first, JOB);
      assertAllComplete(job, results);
      assertThat(ids(fleet.read(second, JOB))).isEqualTo(ids(results));
    }

    @Test
    void areReadFromTheStoreIfTheOwnerIsUnreachable() {
      submit(first, job);
      fleet.run(Duration.ofSeconds(3));
      first.cutLinks(true);

      assertAllComplete(job, fleet.read(second, JOB));
    }

    @Test
    void areNotReturnedBeforeTheStoreAcknowledgesThem() {
      submit(first, job);
      first.store().setSilent(true);
      fleet.run(Duration.ofMillis(2_500));

      assertThat(fleet.read(second, JOB)).isEmpty();
    }

    /** The job's trainer waits for one group of two items; the two other items take longer. */
    @Test
    void areListedAtOnceWhenTheWantedGroupsAreComplete() {
      JobSpec step = SampleJobs.job("step", 1, 5, 40, 200, 200);
      submit(first, step);
      fleet.runMillis(40 * 20 + 60);

      assertThat(fleet.read(first, step.id())).hasSize(2);
    }

    @Test
    void listTheWeightVersionsThatGeneratedThem() {
      fleet.servers().setVersion("s1", 4);
      fleet.servers().setVersion("s2", 4);
      submit(first, job);
      fleet.run(Duration.ofSeconds(3));

      for (ItemResult result : fleet.read(first, JOB)) {
        assertThat(result.versions()).containsExactly(WeightVersion.of(4));
      }
    }

    @Test
    void neverContainTextOfTooOldWeightVersion() {
      JobSpec fresh = SampleJobs.job("job", 3, 5, 5);
      fleet.servers().setVersion("s1", 2);
      fleet.addServer("s3", 1, 3);
      submit(first, fresh);
      fleet.run(Duration.ofSeconds(6));

      ImmutableList<ItemResult> results = fleet.read(first, JOB);
      assertAllComplete(fresh, results);
      for (ItemResult result : results) {
        assertThat(result.versions()).containsExactly(WeightVersion.of(3));
      }
    }

    @Test
    void unknownJobIsReportedOnlyIfTheStoreResponds() {
      assertThat(code(fleet.await(first.jobs().read(JOB, 0, Duration.ZERO))))
          .isEqualTo(ResultCode.UNKNOWN_JOB);
      first.store().setRefused(true);
      assertThat(code(fleet.await(first.jobs().read(JOB, 0, Duration.ZERO))))
          .isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
    }

    @Test
    void itemBodyIsReturnedUnchanged() {
      submit(first, job);

      for (JobFleet.Node node : List.of(first, second)) {
        Result<byte[]> body = fleet.await(node.jobs().body(JOB, ItemId.of("job-1")));
        assertThat(new String(((Result.Success<byte[]>) body).value(), UTF_8))
            .isEqualTo("body of job-1");
      }
    }
  }

  @Nested
  class Items {
    @Test
    void longestStartFirst() {
      JobSpec job = SampleJobs.job("job", 1, 3, 4, 90, 5, 6, 7, 8, 9, 80, 10, 11, 12);
      submit(first, job);
      fleet.runMillis(20);

      assertThat(fleet.servers().order().subList(0, 2))
          .containsExactly(ItemId.of("job-2"), ItemId.of("job-8"))
          .inOrder();
    }

    @Test
    void resumeOnAnotherServerWhenTheirServerStopsResponding() {
      JobSpec job = SampleJobs.job("job", 1, 30, 30);
      submit(first, job);
      fleet.runMillis(200);
      fleet.servers().silence("s1");
      fleet.run(Duration.ofSeconds(8));

      assertAllComplete(job, fleet.read(first, JOB));
    }

    @Test
    void moveFromSlowServerOnceAnotherIsFree() {
      fleet.servers().setEventInterval("s1", Duration.ofMillis(300));
      JobSpec job = SampleJobs.job("job", 1, 60, 60, 60, 60);
      submit(first, job);
      fleet.run(Duration.ofSeconds(8));

      assertAllComplete(job, fleet.read(first, JOB));
    }

    @Test
    void areGivenUpAfterMaxAttemptsOfTheRoute() {
      JobSpec job = SampleJobs.job("job", 1, 3, 3);
      fleet.servers().setOutcome(ItemId.of("job-0"), new ItemRunOutcome.Failed(500));
      submit(first, job);
      fleet.run(Duration.ofSeconds(10));

      assertThat(fleet.servers().starts(ItemId.of("job-0"))).isEqualTo(3);
      assertThat(fleet.read(first, JOB)).hasSize(2);
    }

    @Test
    void areGivenUpAtOnceIfImpossible() {
      JobSpec job = SampleJobs.job("job", 1, 3, 3);
      fleet.servers().setOutcome(ItemId.of("job-0"), new ItemRunOutcome.Impossible());
      submit(first, job);
      fleet.run(Duration.ofSeconds(10));

      assertThat(fleet.servers().starts(ItemId.of("job-0"))).isEqualTo(1);
    }
  }

  @Nested
  class Ends {
    private final JobSpec job = SampleJobs.job("job", 1, 500, 500);

    @Test
    void stopTheItemsWhenRequestedAtAnyDaemon() {
      submit(first, job);
      fleet.runMillis(100);
      Result<JobAcknowledgement> ended = fleet.await(second.jobs().end(JOB));
      fleet.run(Duration.ofSeconds(30));

      assertThat(ended).isEqualTo(Result.success(JobAcknowledgement.ENDED));
      assertThat(fleet.read(first, JOB)).isEmpty();
    }

    @Test
    void reachAnOwnerThatPeersCannotReach() {
      submit(first, job);
      fleet.runMillis(100);
      first.cutLinks(true);
      Result<JobAcknowledgement> ended = fleet.await(second.jobs().end(JOB));
      fleet.run(Duration.ofSeconds(2));

      assertThat(ended).isEqualTo(Result.success(JobAcknowledgement.ENDED));
      assertThat(first.jobs().describe().get(0).isEnded()).isTrue();
    }

    /**
     * After a restart, an owner first loads its job from the store and does not own it meanwhile.
     * An end that arrives during this time must not be lost.
     */
    @Test
    void reachAnOwnerThatIsStillReadingTheJob() {
      submit(first, job);
      first.kill();
      fleet.runMillis(100);
      JobFleet.Node again = fleet.start("vm-1");
      fleet.addServer("s1", 4, 1);
      fleet.runUntil(() -> fleet.ownerIs(JOB, again));
      again.store().setReadsFailing(true);
      Result<JobAcknowledgement> ended = fleet.await(second.jobs().end(JOB));
      again.store().setReadsFailing(false);
      int before = fleet.servers().starts(ItemId.of("job-0"));
      fleet.run(Duration.ofSeconds(5));

      assertThat(ended).isEqualTo(Result.success(JobAcknowledgement.ENDED));
      assertThat(fleet.servers().starts(ItemId.of("job-0"))).isEqualTo(before);
    }

    @Test
    void mayBeRepeated() {
      submit(first, job);
      fleet.await(second.jobs().end(JOB));

      assertThat(fleet.await(first.jobs().end(JOB)))
          .isEqualTo(Result.success(JobAcknowledgement.ENDED));
      assertThat(fleet.await(second.jobs().end(JOB)))
          .isEqualTo(Result.success(JobAcknowledgement.ENDED));
    }
  }
}
