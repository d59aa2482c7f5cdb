package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Texts that were continued at a server with other software hold what does not fit together. */
class SoftwareVersionsOfTextsTest extends JobServiceFixture {
  private final JobSpec job = SampleJobs.job("job", 1, 90, 90, 90, 90, 90, 90);

  @BeforeEach
  void replaceServers() {
    fleet.crashServer("s1");
    fleet.crashServer("s2");
    fleet.addServer("old-1", 4, 1, "v1");
    fleet.addServer("new-1", 4, 1, "v2");
  }

  private void assertCompleteWithoutMixing(JobFleet.Node node) {
    assertAllComplete(job, fleet.read(node, JOB));
    assertThat(fleet.servers().continuedAtOtherSoftware()).isEmpty();
  }

  @Test
  void textsOfCrashedServerContinueAtServersWithTheSameSoftware() {
    fleet.addServer("old-2", 4, 1, "v1");
    submit(first, job);
    fleet.runMillis(1_000);
    fleet.crashServer("old-1");
    fleet.run(Duration.ofSeconds(10));

    assertCompleteWithoutMixing(first);
    assertThat(fleet.servers().continued()).isNotEmpty();
  }

  @Test
  void textsBeginAnewIfNoServerWithTheirSoftwareIsLeft() {
    submit(first, job);
    fleet.runMillis(1_000);
    fleet.crashServer("old-1");
    fleet.run(Duration.ofSeconds(10));

    assertCompleteWithoutMixing(first);
  }

  @Test
  void textsBeginAnewIfTheServersWithTheirSoftwareStayBusy() {
    fleet.addServer("old-2", 1, 1, "v1");
    submit(first, job);
    submit(first, SampleJobs.job("long", 1, 2_000, 2_000));
    fleet.runMillis(1_000);
    fleet.crashServer("old-1");
    fleet.run(Duration.ofSeconds(10));

    assertCompleteWithoutMixing(first);
  }

  @Test
  void savedTextsContinueAtServersWithTheSameSoftwareAfterTakeover() {
    fleet.addServer("old-2", 4, 1, "v1");
    submit(first, job);
    fleet.runMillis(1_500);
    first.kill();
    fleet.run(Duration.ofSeconds(20));

    assertCompleteWithoutMixing(second);
    assertThat(fleet.servers().continued()).isNotEmpty();
  }

  @Test
  void textsThatAreHandedOffContinueAtServersWithTheSameSoftware() {
    submit(first, job);
    fleet.runMillis(1_000);
    first.shutDown();
    fleet.run(Duration.ofSeconds(10));

    assertCompleteWithoutMixing(second);
    assertThat(fleet.servers().continued()).isNotEmpty();
  }

  /** The only server that is known at first must not decide that the others are gone. */
  @Test
  void savedTextsContinueIfTheirServersAreReadLaterThanOthers() {
    submit(first, job);
    fleet.runMillis(1_500);
    first.kill();
    fleet.crashServer("old-1");
    fleet.run(Duration.ofSeconds(9));
    fleet.runUntil(() -> second.owns(JOB));
    fleet.runMillis(100);
    fleet.addServer("old-1", 4, 1, "v1");
    fleet.run(Duration.ofSeconds(10));

    assertCompleteWithoutMixing(second);
    assertThat(fleet.servers().continued()).isNotEmpty();
  }
}
