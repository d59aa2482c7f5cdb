package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Random;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Jobs whose record has many parts in the store. */
class LargeJobTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(4);

  /** Longer than a job is kept after it has become owned. */
  private static final Duration RETENTION = Duration.ofSeconds(200);

  private static final int ITEMS = 4;

  /** Returns a job whose items have bodies of {@code bytes} in all, which do not compress. */
  private static JobSpec job(int bytes) {
    Random random = new Random(1);
    JobSpec job = SampleJobs.job("job", 1, 3, 3, 3, 3);
    ImmutableList.Builder<ItemSpec> items = ImmutableList.builder();
    for (ItemSpec item : job.items()) {
      byte[] body = new byte[bytes / ITEMS];
      random.nextBytes(body);
      items.add(
          new ItemSpec(
              item.id(),
              item.path(),
              item.headers(),
              body,
              item.tokens(),
              item.expectedTokens(),
              item.group(),
              item.rewardCall()));
    }
    return SampleJobs.withItems(job, items.build());
  }

  @Nested
  class Records {
    private RecordParts parts(int bytes) {
      return RecordParts.of(new byte[bytes]).orElseThrow();
    }

    @Test
    void areSplitIntoParts() {
      assertThat(parts(0).count()).isEqualTo(1);
      assertThat(parts(700_000).count()).isEqualTo(1);
      assertThat(parts(700_001).count()).isEqualTo(2);
      assertThat(parts(700_001).get(1)).hasLength(1);
    }

    @Test
    void fitOneTransaction() {
      assertThat(parts(21_000_000).count()).isEqualTo(30);
      assertThat(RecordParts.of(new byte[21_000_001])).isEmpty();
    }
  }

  @Nested
  class Submissions extends JobServiceFixture {
    @Test
    void areAcceptedUpToTheLimitOfTheStore() {
      JobSpec job = job(20_900_000);
      assertThat(isAccepted(submit(first, job))).isTrue();
      fleet.run(Duration.ofSeconds(5));

      assertThat(fleet.read(second, job.id())).hasSize(ITEMS);
    }

    /** Guards against jobs that are never answered and whose memory is kept (review, case 8). */
    @Test
    void areRejectedAtOnceIfTheyAreLarger() {
      JobSpec job = job(24_000_000);
      for (int i = 0; i < 2; i++) {
        Result<JobAcknowledgement> reply = first.jobs().submit(job, TIMEOUT).join();
        assertThat(code(reply)).isEqualTo(ResultCode.NOT_RUN_OVERLOADED);
      }

      assertThat(first.memory().usedBytes()).isEqualTo(0);
    }
  }

  @Nested
  class Removal extends JobServiceFixture {
    /** Guards against a removal without room for the pages, which never ends. */
    @Test
    void leavesNothingOfJobWithManyParts() {
      JobSpec job = job(20_900_000);
      submit(first, job);
      fleet.run(Duration.ofSeconds(5));
      assertThat(fleet.read(first, job.id())).hasSize(ITEMS);
      fleet.await(first.jobs().end(job.id()));
      fleet.run(RETENTION);

      assertThat(fleet.store().keys("amaranthstream/owners/")).isEmpty();
      assertThat(fleet.store().keys(JobKeys.results(job.id()))).isEmpty();
      assertThat(fleet.store().keys(JobKeys.part(job.id(), 0))).isEmpty();
    }
  }
}
