package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.ids.WorkspaceId;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.junit.jupiter.api.Test;

/** Batch jobs of several workspaces, whose callers may use the same ids. */
class JobWorkspacesTest extends JobServiceFixture {
  private static final Optional<WorkspaceId> OWN = Optional.of(WorkspaceId.of("own"));
  private static final Optional<WorkspaceId> OTHER = Optional.of(WorkspaceId.of("other"));

  private final JobSpec job = inWorkspace(SampleJobs.job("shared", 1, 5, 90, 90, 3), OWN);

  private static JobSpec inWorkspace(JobSpec job, Optional<WorkspaceId> workspace) {
    return new JobSpec(
        JobId.of(workspace, job.id().value()),
        job.host(),
        job.path(),
        job.step(),
        job.model(),
        job.minVersion(),
        job.wantedGroups(),
        job.items());
  }

  /** Returns what a caller gets who reads, ends, and asks for a body of {@code id}. */
  private ImmutableList<String> responses(JobFleet.Node node, JobId id) {
    return ImmutableList.of(
            fleet.await(node.jobs().read(id, 0, Duration.ZERO)),
            fleet.await(node.jobs().body(id, job.items().get(0).id())),
            fleet.await(node.jobs().end(id)))
        .stream()
        .map(result -> result.toString().replace(id.value(), "ID"))
        .collect(ImmutableList.toImmutableList());
  }

  @Test
  void areServedAtAnyDaemonForTheirWorkspace() {
    assertThat(isAccepted(submit(first, job))).isTrue();
    assertThat(isAccepted(submit(second, job))).isTrue();
    Result<byte[]> body = fleet.await(second.jobs().body(job.id(), job.items().get(0).id()));
    fleet.run(Duration.ofSeconds(5));

    assertAllComplete(job, fleet.read(second, job.id()));
    assertThat(new String(((Result.Success<byte[]>) body).value(), UTF_8))
        .isEqualTo("body of shared-0");
    assertThat(fleet.await(second.jobs().end(job.id())))
        .isEqualTo(Result.success(JobAcknowledgement.ENDED));
    assertThat(fleet.servers().starts(job.items().get(0).id())).isEqualTo(1);
  }

  @Test
  void areUnknownToOtherWorkspacesLikeJobsThatNeverExisted() {
    submit(first, job);
    fleet.read(second, job.id());

    for (JobFleet.Node node : List.of(first, second)) {
      for (Optional<WorkspaceId> stranger : List.of(OTHER, Optional.<WorkspaceId>empty())) {
        ImmutableList<String> never = responses(node, JobId.of(stranger, "never"));
        assertThat(responses(node, JobId.of(stranger, "shared"))).isEqualTo(never);
        assertThat(code(fleet.await(node.jobs().end(JobId.of(stranger, "shared")))))
            .isEqualTo(ResultCode.UNKNOWN_JOB);
      }
    }
    fleet.run(Duration.ofSeconds(5));
    assertAllComplete(job, fleet.read(first, job.id()));
  }

  @Test
  void areUnknownToOtherWorkspacesAlsoWhileTheStoreIsUnavailable() {
    submit(first, job);
    fleet.read(second, job.id());
    first.store().setRefused(true);
    second.store().setRefused(true);

    for (JobFleet.Node node : List.of(first, second)) {
      ImmutableList<String> never = responses(node, JobId.of(OTHER, "never"));
      assertThat(responses(node, JobId.of(OTHER, "shared"))).isEqualTo(never);
      assertThat(code(fleet.await(node.jobs().read(JobId.of(OTHER, "shared"), 0, Duration.ZERO))))
          .isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
    }
  }

  /** The store rejects one daemon, which therefore asks the owner by a query between peers. */
  @Test
  void areServedByTheirOwnerForTheirWorkspaceOnly() {
    submit(first, job);
    fleet.run(Duration.ofSeconds(5));
    second.store().setRefused(true);
    JobId foreign = JobId.of(OTHER, job.id().value());

    assertAllComplete(job, fleet.read(second, job.id()));
    assertThat(fleet.await(second.jobs().end(foreign))).isInstanceOf(Result.Failure.class);
    assertThat(fleet.await(second.jobs().end(job.id())))
        .isEqualTo(Result.success(JobAcknowledgement.ENDED));
  }

  @Test
  void ofTwoWorkspacesWithOneIdAreTwoJobs() {
    JobSpec same = inWorkspace(SampleJobs.job("shared", 1, 4, 2), OTHER);
    assertThat(isAccepted(submit(first, job))).isTrue();
    assertThat(isAccepted(submit(second, same))).isTrue();
    assertThat(fleet.await(second.jobs().end(same.id())))
        .isEqualTo(Result.success(JobAcknowledgement.ENDED));
    fleet.run(Duration.ofSeconds(5));

    assertAllComplete(job, fleet.read(second, job.id()));
    assertThat(fleet.read(first, same.id()).size()).isAtMost(2);
  }

  @Test
  void keepTheirWorkspaceAtServersAfterTakeoverAndHandoff() {
    submit(first, job);
    fleet.runMillis(800);
    first.kill();
    fleet.run(Duration.ofSeconds(6));
    final JobFleet.Node third = fleet.start("vm-3");
    fleet.addServer("s1", 4, 1);
    fleet.addServer("s2", 4, 1);
    fleet.runMillis(500);
    second.shutDown();
    fleet.run(Duration.ofSeconds(15));

    assertAllComplete(job, fleet.read(third, job.id()));
    assertThat(fleet.servers().continued()).isNotEmpty();
    for (ItemRequest request : fleet.servers().requests()) {
      assertWithMessage("%s", request.item().id()).that(request.workspace()).isEqualTo(OWN);
    }
  }

  @Test
  void withoutWorkspaceAreFoundByRequestsWithoutOne() {
    JobSpec old = SampleJobs.job("shared", 1, 3, 2);
    submit(first, old);
    fleet.run(Duration.ofSeconds(3));
    first.kill();
    fleet.run(Duration.ofSeconds(10));

    assertThat(fleet.store().entry("amaranthstream/owners/shared")).isPresent();
    assertAllComplete(old, fleet.read(second, JobId.of("shared")));
    assertThat(fleet.servers().requests().get(0).workspace()).isEmpty();
  }
}
