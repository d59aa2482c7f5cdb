package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.result.Result;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A daemon that is suspended for longer than its lease, so that a peer takes over its jobs. */
class SuspendedOwnerTest extends JobServiceFixture {
  private static final Duration SUSPENSION = Duration.ofSeconds(5);
  private static final Duration CONTACT = Duration.ofSeconds(3);
  private static final Duration EVENT_INTERVAL = Duration.ofMillis(100);

  /** Two waves of items, each of which takes 10 s. */
  private final JobSpec job =
      SampleJobs.job(
          "job", 1, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100);

  @BeforeEach
  void slowDownServers() {
    fleet.servers().setEventInterval("s1", EVENT_INTERVAL);
    fleet.servers().setEventInterval("s2", EVENT_INTERVAL);
    submit(first, job);
    fleet.runMillis(500);
  }

  private void suspendFirst() {
    first.pause();
    fleet.run(SUSPENSION);
    first.resume();
  }

  @Nested
  class EndedJob {
    /** Guards against items of an ended job that its former owner starts (review, case 5). */
    @Test
    void startsNoItemAtFormerOwner() {
      first.pause();
      fleet.run(SUSPENSION.minusMillis(500));
      assertThat(fleet.await(second.jobs().end(JOB)))
          .isEqualTo(Result.success(JobAcknowledgement.ENDED));
      fleet.runMillis(500);
      first.resume();
      fleet.run(CONTACT);
      int startsInTouch = fleet.servers().order().size();
      fleet.run(Duration.ofSeconds(12));

      assertThat(fleet.servers().order()).hasSize(startsInTouch);
      assertThat(first.owns(JOB)).isFalse();
    }

    @Test
    void isEndedAtFormerOwnerToo() {
      suspendFirst();
      assertThat(fleet.await(first.jobs().end(JOB)))
          .isEqualTo(Result.success(JobAcknowledgement.ENDED));
      fleet.run(CONTACT);
      assertThat(second.jobs().describe().get(0).isEnded()).isTrue();
    }
  }

  @Nested
  class Reads {
    /** Guards against a former owner that denies results which were read (review, case 3). */
    @Test
    void areCompleteAtFormerOwner() {
      first.pause();
      fleet.run(Duration.ofSeconds(30));
      ImmutableList<ItemResult> results = fleet.read(second, JOB);
      first.resume();
      first.cutServers();

      assertAllComplete(job, results);
      assertThat(ids(fleet.read(first, JOB))).isEqualTo(ids(results));
      fleet.run(CONTACT);
      assertThat(ids(fleet.read(first, JOB))).isEqualTo(ids(results));
    }

    /** A check that the store left unanswered earlier does not count for a later lapse. */
    @Test
    void areCompleteAfterAnEarlierOutage() {
      first.store().setSilent(true);
      first.jobs().sweep();
      fleet.runMillis(600);
      first.store().setSilent(false);
      first.pause();
      fleet.run(Duration.ofSeconds(30));
      first.resume();

      assertAllComplete(job, fleet.read(first, JOB));
    }

    @Test
    void thatWaitedDuringTheSuspensionAreServedByTheNewOwner() {
      CompletableFuture<Result<ResultSlice>> read =
          first.jobs().read(JOB, 0, Duration.ofSeconds(8));
      suspendFirst();

      assertThat(fleet.await(read)).isInstanceOf(Result.Success.class);
      assertThat(first.owns(JOB)).isFalse();
    }
  }

  @Nested
  class WithoutStore {
    /** The end of the lease alone is no loss: nobody has taken the job over. */
    @Test
    void jobIsServedOnByItsOwner() {
      first.store().setSilent(true);
      second.store().setSilent(true);
      fleet.run(SUSPENSION);
      int starts = fleet.servers().order().size();
      fleet.run(Duration.ofSeconds(10));

      assertThat(fleet.servers().order().size()).isGreaterThan(starts);
      assertThat(fleet.await(first.jobs().read(JOB, 0, Duration.ZERO)))
          .isInstanceOf(Result.Success.class);
    }
  }

  @Nested
  class Cost {
    /** A lapse costs one listing for all jobs, besides that of the sweep. */
    @Test
    void ofLapseDoesNotGrowWithTheJobs() {
      for (int i = 0; i < 5; i++) {
        submit(first, SampleJobs.job("other-" + i, 1, 100, 100));
      }
      int before = fleet.store().listings(JobKeys.OWNERS);
      suspendFirst();
      fleet.run(CONTACT);

      int backstopSweeps = 2 * 2;
      int sweepsAfterLoss = 1;
      assertThat(fleet.store().listings(JobKeys.OWNERS) - before)
          .isAtMost(2 + backstopSweeps + sweepsAfterLoss);
    }
  }
}
