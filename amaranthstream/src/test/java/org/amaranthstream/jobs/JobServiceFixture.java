package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.time.Duration;
import java.util.List;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.junit.jupiter.api.BeforeEach;

/** Two daemons with batch jobs and two engines, in virtual time. */
abstract class JobServiceFixture {
  static final Duration SUBMIT_TIMEOUT = Duration.ofSeconds(4);
  static final JobId JOB = JobId.of("job");

  final JobFleet fleet = new JobFleet();
  JobFleet.Node first;
  JobFleet.Node second;

  @BeforeEach
  void start() {
    first = fleet.start("vm-1");
    second = fleet.start("vm-2");
    fleet.runMillis(500);
    fleet.addServer("s1", 4, 1);
    fleet.addServer("s2", 4, 1);
  }

  Result<JobAcknowledgement> submit(JobFleet.Node node, JobSpec job) {
    return fleet.await(node.jobs().submit(job, SUBMIT_TIMEOUT));
  }

  static boolean isAccepted(Result<JobAcknowledgement> result) {
    return result.equals(Result.success(JobAcknowledgement.ACCEPTED));
  }

  static ResultCode code(Result<?> result) {
    return ((Result.Failure<?>) result).error().code();
  }

  static void assertAllComplete(JobSpec job, List<ItemResult> results) {
    assertThat(results).hasSize(job.items().size());
    for (ItemResult result : results) {
      ItemSpec item =
          job.items().stream().filter(i -> i.id().equals(result.item())).findFirst().get();
      assertThat(new String(result.text(), UTF_8)).isEqualTo(SimulatedServers.text(item));
      assertThat(result.isComplete()).isTrue();
    }
  }

  static List<ItemId> ids(List<ItemResult> results) {
    return results.stream().map(ItemResult::item).toList();
  }
}
