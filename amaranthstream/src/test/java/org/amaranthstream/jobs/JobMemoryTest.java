package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.result.Result;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Memory that the jobs of a daemon take. */
class JobMemoryTest {
  private static final long CAPACITY = 4_000_000;
  private static final Duration TIMEOUT = Duration.ofSeconds(4);
  private static final Duration RETENTION = Duration.ofSeconds(170);

  private final JobFleet fleet = new JobFleet(CAPACITY);
  private JobFleet.Node first;
  private JobFleet.Node second;

  @BeforeEach
  void start() {
    first = fleet.start("vm-1");
    second = fleet.start("vm-2");
    fleet.runMillis(500);
  }

  private void submit(JobSpec job) {
    assertThat(fleet.await(first.jobs().submit(job, TIMEOUT)))
        .isEqualTo(Result.success(JobAcknowledgement.ACCEPTED));
  }

  /** Reads all results as a caller does, page by page. */
  private ImmutableList<ItemResult> readAll(JobFleet.Node node, JobSpec job) {
    List<ItemResult> all = new ArrayList<>();
    for (int reads = 0; reads < 200 && all.size() < job.items().size(); reads++) {
      Result<ResultSlice> read = fleet.await(node.jobs().read(job.id(), all.size(), Duration.ZERO));
      all.addAll(((Result.Success<ResultSlice>) read).value().results());
    }
    return ImmutableList.copyOf(all);
  }

  /** Two trainers submit 15 groups of 8 items each 4 s, with 33 events in the mean. */
  @Nested
  class UsualLoadOfTrainers {
    private static final int STEPS = 23;
    private static final int TRAINERS = 2;

    private JobSpec step(int step, int trainer) {
      int[] lengths = new int[120];
      for (int i = 0; i < lengths.length; i++) {
        lengths[i] = new int[] {8, 14, 20, 26, 33, 40, 50, 73}[i % 8];
      }
      return SampleJobs.job("job-" + trainer + "-" + step, 1, lengths);
    }

    private List<JobSpec> run() {
      fleet.addServer("s1", 128, 1);
      fleet.addServer("s2", 128, 1);
      List<JobSpec> jobs = new ArrayList<>();
      for (int step = 0; step < STEPS; step++) {
        for (int trainer = 0; trainer < TRAINERS; trainer++) {
          JobSpec job = step(step, trainer);
          submit(job);
          jobs.add(job);
        }
        fleet.run(Duration.ofSeconds(4));
        for (JobSpec job : jobs.subList(jobs.size() - TRAINERS, jobs.size())) {
          assertThat(readAll(first, job)).hasSize(job.items().size());
          fleet.await(first.jobs().end(job.id()));
        }
      }
      return jobs;
    }

    /** Guards against owners that keep all results until they run out of heap (review, case 2). */
    @Test
    void takesTheShareOfTheCacheOnly() {
      run();

      assertThat(first.memory().usedBytes()).isAtMost(CAPACITY / 8);
    }

    @Test
    void canBeReadFromTheStoreLater() {
      List<JobSpec> jobs = run();

      for (JobSpec job : List.of(jobs.get(0), jobs.get(jobs.size() - 1))) {
        JobServiceFixture.assertAllComplete(job, readAll(first, job));
        assertThat(readAll(second, job)).hasSize(job.items().size());
      }
    }

    /** The jobs of a killed daemon do not fill the memory of its successor. */
    @Test
    void fitsAtTheNextOwner() {
      List<JobSpec> jobs = run();
      first.kill();
      fleet.run(Duration.ofSeconds(40));

      assertThat(jobs.stream().filter(job -> second.owns(job.id())).count()).isGreaterThan(1);
      assertThat(second.memory().usedBytes()).isAtMost(CAPACITY / 8);
      JobServiceFixture.assertAllComplete(jobs.get(0), readAll(second, jobs.get(0)));
    }

    @Test
    void isGivenBackAfterItsRetention() {
      run();
      fleet.run(RETENTION);

      assertThat(first.memory().usedBytes()).isEqualTo(0);
    }
  }

  /** The owner gives up the items of a job that is listed as a whole. */
  @Test
  void bodyOfListedItemIsReadFromTheStore() {
    fleet.addServer("s1", 8, 1);
    JobSpec job = SampleJobs.job("job", 1, 3, 3);
    submit(job);
    fleet.run(Duration.ofSeconds(5));

    for (JobFleet.Node node : List.of(first, second)) {
      Result<byte[]> body = fleet.await(node.jobs().body(job.id(), job.items().get(0).id()));
      assertThat(((Result.Success<byte[]>) body).value()).isEqualTo(job.items().get(0).body());
    }
  }

  @Nested
  class JobsWithoutRoom {
    @Test
    void areRejectedForPeers() {
      JobSpec large = largeJob("large", 3_000_000);
      submit(large);
      Result<JobAcknowledgement> relayed =
          fleet.await(first.jobs().submitForPeer(largeJob("other", 3_000_000), TIMEOUT));

      assertThat(relayed).isInstanceOf(Result.Failure.class);
    }

    private JobSpec largeJob(String id, int bytes) {
      JobSpec job = SampleJobs.job(id, 1, 10);
      ItemSpec item = job.items().get(0);
      ItemSpec large =
          new ItemSpec(
              item.id(),
              item.path(),
              item.headers(),
              new byte[bytes],
              item.tokens(),
              item.expectedTokens(),
              item.group(),
              item.rewardCall());
      return SampleJobs.withItems(job, ImmutableList.of(large));
    }
  }

  /** A server that sends well-formed events without end, beside a sound one. */
  @Nested
  class EndlessTexts {
    private static final int EVENT_BYTES = 16_000;

    private final JobSpec job = job("job");

    private JobSpec job(String id) {
      int[] lengths = new int[16];
      Arrays.fill(lengths, 20);
      return SampleJobs.job(id, 1, lengths);
    }

    @BeforeEach
    void start() {
      fleet.addServer("faulty", 16, 1);
      fleet.addServer("sound", 16, 1);
      fleet.servers().makeEndless("faulty", EVENT_BYTES);
      fleet.servers().setEventInterval("faulty", Duration.ofMillis(1));
    }

    /** Guards against texts without end that take all memory (further report of issue 46). */
    @Test
    void takeNoMoreThanTheBudget() {
      for (int i = 0; i < 4; i++) {
        submit(job("job-" + i));
      }
      long most = 0;
      for (int i = 0; i < 5_000; i++) {
        fleet.runMillis(1);
        most = Math.max(most, first.memory().usedBytes());
      }

      assertThat(most).isAtMost(CAPACITY);
      assertThat(first.memory().open().tryGrow(100_000)).isTrue();
    }

    @Test
    void doNotKeepOtherItemsFromTheirEnd() {
      submit(job);
      fleet.run(Duration.ofSeconds(30));

      JobServiceFixture.assertAllComplete(job, readAll(first, job));
    }

    @Test
    void giveTheirMemoryBack() {
      submit(job);
      fleet.run(Duration.ofSeconds(1));
      fleet.await(first.jobs().end(JobId.of("job")));
      fleet.run(RETENTION);

      assertThat(first.memory().usedBytes()).isEqualTo(0);
    }
  }
}
