package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Items at engines of different pace, placed by the expected end of their runs. */
class ExpectedEndSchedulingTest {
  private static final Duration FAST = Duration.ofMillis(33);
  private static final Duration SLOW = Duration.ofMillis(73);

  private final JobFleet fleet =
      new JobFleet(ItemSchedulingOptions.OFF.withFairOrder(true).withExpectedEnd(true));
  private JobFleet.Node node;

  @BeforeEach
  void start() {
    node = fleet.start("vm-1");
    fleet.runMillis(500);
    fleet.addServer("fast1", 4, 1);
    fleet.addServer("fast2", 4, 1);
    fleet.addServer("fast3", 4, 1);
    fleet.addServer("slow", 4, 1);
    fleet.servers().setEventInterval("fast1", FAST);
    fleet.servers().setEventInterval("fast2", FAST);
    fleet.servers().setEventInterval("fast3", FAST);
    fleet.servers().setEventInterval("slow", SLOW);
  }

  private static int[] lengths(int count) {
    int[] lengths = new int[count];
    for (int i = 0; i < count; i++) {
      lengths[i] = 8 + i * 7 % 17;
    }
    return lengths;
  }

  private void run(JobSpec job, Duration duration) {
    assertThat(
            JobServiceFixture.isAccepted(
                fleet.await(node.jobs().submit(job, JobServiceFixture.SUBMIT_TIMEOUT))))
        .isTrue();
    fleet.run(duration);
  }

  /** On a day without load, differences in pace are no reason to cut a run. */
  @Test
  void cutsNoRunBecauseServersDifferInPace() {
    run(SampleJobs.job("job", 1, lengths(60)), Duration.ofSeconds(20));

    JobServiceFixture.assertAllComplete(
        SampleJobs.job("job", 1, lengths(60)), fleet.read(node, JobServiceFixture.JOB));
    assertThat(fleet.servers().order()).hasSize(60);
  }

  @Test
  void movesRunsFromServersThatAreManyTimesSlower() {
    fleet.servers().setEventInterval("slow", Duration.ofMillis(400));
    run(SampleJobs.job("job", 1, lengths(60)), Duration.ofSeconds(12));

    assertThat(fleet.read(node, JobServiceFixture.JOB)).hasSize(60);
    assertThat(fleet.servers().order().size()).isGreaterThan(60);
  }
}
