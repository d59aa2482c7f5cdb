package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Jobs whose owner loses its links to all backend servers while its peers reach them. */
class UnreachableJobsTest extends JobServiceFixture {
  private final JobSpec job = SampleJobs.job("job", 1, 5, 90, 90, 3);

  @Test
  void jobIsHandedOffToPeerThatReachesTheServers() {
    submit(first, job);
    fleet.runMillis(1_000);
    first.cutServers();
    fleet.runMillis(4_500);

    assertThat(second.owns(JOB)).isTrue();
    assertAllComplete(job, fleet.read(first, JOB));
    assertThat(fleet.servers().continued()).isNotEmpty();
  }

  @Test
  void jobIsHandedOffIfNewConnectionsAreRefusedWhileOpenOnesWork() {
    JobSpec long1 = SampleJobs.job("job", 1, 300, 5, 90, 90, 90, 90, 90, 90, 90, 90);
    submit(first, long1);
    fleet.runMillis(500);
    first.refuseConnections();
    fleet.runMillis(8_500);

    assertThat(second.owns(JOB)).isTrue();
    assertAllComplete(long1, fleet.read(first, JOB));
  }

  @Test
  void jobThatIsSubmittedDuringTheCutIsHandedOff() {
    submit(first, SampleJobs.job("before", 1, 300));
    fleet.runMillis(500);
    first.cutServers();
    fleet.runMillis(3_000);
    submit(first, job);
    fleet.runMillis(4_000);

    assertAllComplete(job, fleet.read(first, JOB));
  }

  @Test
  void jobStaysWhileNoPeerReachesTheServers() {
    submit(first, job);
    fleet.runMillis(1_000);
    first.cutServers();
    second.cutServers();
    fleet.run(Duration.ofSeconds(10));

    assertThat(first.owns(JOB)).isTrue();
  }

  /** The daemons cannot tell such servers from a partition, but no peer confirms one. */
  @Test
  void jobStaysWhileTheServersAreDownForAll() {
    submit(first, job);
    fleet.runMillis(1_000);
    fleet.servers().silence("s1");
    fleet.servers().silence("s2");
    fleet.run(Duration.ofSeconds(20));

    assertThat(first.owns(JOB)).isTrue();
  }

  @Test
  void jobStaysWhileOneServerIsSilent() {
    submit(first, job);
    fleet.runMillis(1_000);
    fleet.servers().silence("s1");
    fleet.run(Duration.ofSeconds(8));

    assertThat(first.owns(JOB)).isTrue();
    assertAllComplete(job, fleet.read(first, JOB));
  }
}
