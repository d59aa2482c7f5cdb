package org.amaranthstream.ids;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class JobIdTest {
  private static final Optional<WorkspaceId> WORKSPACE = Optional.of(WorkspaceId.of("w"));

  @Test
  void textWithoutWorkspaceIsThatOfTheCaller() {
    assertThat(JobId.of("j").toString()).isEqualTo("j");
    assertThat(JobId.parse("j")).isEqualTo(JobId.of("j"));
  }

  @Test
  void textWithWorkspaceIsParsed() {
    JobId job = JobId.of(WORKSPACE, "j");

    assertThat(job.toString()).isEqualTo("@w/j");
    assertThat(JobId.parse("@w/j")).isEqualTo(job);
    assertThat(job).isNotEqualTo(JobId.of("j"));
  }

  @Test
  void rejectsTextsThatCouldNameJobsOfOtherWorkspaces() {
    assertThrows(IllegalArgumentException.class, () -> JobId.of("@w/j"));
    assertThrows(IllegalArgumentException.class, () -> JobId.of(WORKSPACE, "../j"));
    assertThrows(IllegalArgumentException.class, () -> JobId.parse("@w"));
    assertThrows(IllegalArgumentException.class, () -> JobId.parse("@w/a/b"));
  }

  @Test
  void rejectsTextsTooLongForTheStore() {
    Optional<WorkspaceId> longest = Optional.of(WorkspaceId.of("w".repeat(128)));

    assertThat(JobId.of("j".repeat(128)).value()).hasLength(128);
    assertThrows(IllegalArgumentException.class, () -> JobId.of(longest, "j".repeat(33)));
  }
}
