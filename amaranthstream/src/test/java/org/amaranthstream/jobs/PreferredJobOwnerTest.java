package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.result.Result;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Successive jobs of a trainer that arrive at different daemons of a zone. */
class PreferredJobOwnerTest {
  private static final int DAEMONS = 8;
  private static final Duration SUBMIT_TIMEOUT = Duration.ofSeconds(4);

  private final JobFleet fleet = new JobFleet();
  private final List<JobFleet.Node> nodes = new ArrayList<>();

  @BeforeEach
  void start() {
    IntStream.range(0, DAEMONS).forEach(i -> nodes.add(fleet.start("vm-" + i)));
    fleet.run(Duration.ofSeconds(2));
    fleet.addServer("s1", 4, 1);
    fleet.addServer("s2", 4, 1);
  }

  private Result<JobAcknowledgement> submitAt(JobFleet.Node node, String job) {
    return fleet.await(node.jobs().submit(SampleJobs.job(job, 1, 200, 200), SUBMIT_TIMEOUT));
  }

  private ImmutableList<JobFleet.Node> owners(String job) {
    return nodes.stream()
        .filter(node -> !node.isKilled() && node.owns(JobId.of(job)))
        .collect(ImmutableList.toImmutableList());
  }

  @Test
  void ownsAllOfThem() {
    for (JobFleet.Node node : nodes) {
      assertThat(submitAt(node, "job-" + node.name()))
          .isEqualTo(Result.success(JobAcknowledgement.ACCEPTED));
    }

    ImmutableList<JobFleet.Node> first = owners("job-vm-0");
    assertThat(first).hasSize(1);
    for (JobFleet.Node node : nodes) {
      assertThat(owners("job-" + node.name())).isEqualTo(first);
    }
  }

  @Nested
  class Lost {
    private JobFleet.Node preferred;
    private JobFleet.Node other;

    @BeforeEach
    void find() {
      submitAt(nodes.get(0), "job-a");
      preferred = owners("job-a").get(0);
      other = nodes.stream().filter(node -> node != preferred).findFirst().orElseThrow();
    }

    private void assertAcceptedBySomeoneElse() {
      assertThat(submitAt(other, "job-b")).isEqualTo(Result.success(JobAcknowledgement.ACCEPTED));
      assertThat(owners("job-b")).containsExactly(other);
    }

    @Test
    void killedOwnerIsReplacedByTheDaemonThatReceivesTheJob() {
      preferred.kill();

      assertAcceptedBySomeoneElse();
    }

    @Test
    void cutOffOwnerIsReplacedByTheDaemonThatReceivesTheJob() {
      preferred.cutLinks(true);

      assertAcceptedBySomeoneElse();
    }

    @Test
    void ownerThatShutsDownIsReplacedByTheDaemonThatReceivesTheJob() {
      preferred.shutDown();

      assertAcceptedBySomeoneElse();
    }

    /** The owner may store the job after all; the store lets only one of the two own it. */
    @Test
    void suspendedOwnerDelaysTheResponseForLessThanHalfSecond() {
      preferred.pause();
      long before = fleet.nowNanos();
      assertThat(submitAt(other, "job-b")).isEqualTo(Result.success(JobAcknowledgement.ACCEPTED));
      assertThat(fleet.nowNanos() - before).isLessThan(Duration.ofMillis(500).toNanos());

      preferred.resume();
      fleet.run(Duration.ofSeconds(2));
      assertThat(owners("job-b")).hasSize(1);
    }
  }
}
