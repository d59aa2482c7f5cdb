package org.amaranthstream.workspaces;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.amaranthstream.auth.TokenDigest;
import org.amaranthstream.ids.WorkspaceId;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WorkspaceDirectoryTest {
  private static final WorkspaceId FIRST = WorkspaceId.of("first");
  private static final WorkspaceId SECOND = WorkspaceId.of("second");

  private static Workspace workspace(WorkspaceId id, OptionalInt priority, String... keys) {
    return new Workspace(
        id,
        priority,
        Arrays.stream(keys).map(TokenDigest::of).collect(ImmutableSet.toImmutableSet()));
  }

  private final WorkspaceDirectory directory =
      WorkspaceDirectory.of(
          List.of(
              workspace(FIRST, OptionalInt.of(1), "key-1a", "key-1b"),
              workspace(SECOND, OptionalInt.empty(), "key-2")));

  private static Optional<WorkspaceId> granted(Result<Optional<WorkspaceId>> access) {
    return ((Result.Success<Optional<WorkspaceId>>) access).value();
  }

  private static boolean isRejected(Result<Optional<WorkspaceId>> access) {
    return access instanceof Result.Failure<Optional<WorkspaceId>> failure
        && failure.error().code() == ResultCode.UNAUTHENTICATED;
  }

  @Nested
  class Authorize {
    @Test
    void namesTheWorkspaceOfTheKey() {
      assertThat(granted(directory.authorize(List.of("Bearer key-1b"), false))).hasValue(FIRST);
      assertThat(granted(directory.authorize(List.of("bearer key-2"), false))).hasValue(SECOND);
      assertThat(granted(directory.authorize(List.of("Bearer   key-2"), false))).hasValue(SECOND);
    }

    @Test
    void rejectsRequestsWithoutExactlyOneKnownKey() {
      for (List<String> headers :
          List.of(
              List.<String>of(),
              List.of(""),
              List.of("Bearer "),
              List.of("Basic key-2"),
              List.of("key-2"),
              List.of("Bearer key-3"),
              List.of("Bearer " + "x".repeat(TokenDigest.MAX_TOKEN_CHARS + 1)),
              List.of("Bearer key-1a", "Bearer key-2"),
              List.of("Bearer key-2", "Bearer key-2"))) {
        assertThat(isRejected(directory.authorize(headers, false))).isTrue();
      }
    }

    @Test
    void servesPublicRoutesWithAnyKeyAndNone() {
      assertThat(granted(directory.authorize(List.of(), true))).isEmpty();
      assertThat(granted(directory.authorize(List.of("Bearer key-3"), true))).isEmpty();
      assertThat(granted(directory.authorize(List.of("Bearer key-2"), true))).hasValue(SECOND);
    }

    @Test
    void needsNoKeyIfNoWorkspacesAreConfigured() {
      assertThat(granted(WorkspaceDirectory.none().authorize(List.of(), false))).isEmpty();
    }

    /** An operator who removes the last workspace does not open the routes to everyone. */
    @Test
    void acceptsNoKeyIfTheListOfWorkspacesIsEmpty() {
      WorkspaceDirectory empty = WorkspaceDirectory.of(List.of());

      assertThat(isRejected(empty.authorize(List.of("Bearer key-2"), false))).isTrue();
      assertThat(isRejected(empty.authorize(List.of(), false))).isTrue();
    }

    @Test
    void rejectsKeysThatSeveralWorkspacesHold() {
      WorkspaceDirectory ambiguous =
          WorkspaceDirectory.of(
              List.of(
                  workspace(FIRST, OptionalInt.empty(), "shared", "own"),
                  workspace(SECOND, OptionalInt.empty(), "shared")));

      assertThat(isRejected(ambiguous.authorize(List.of("Bearer shared"), false))).isTrue();
      assertThat(granted(ambiguous.authorize(List.of("Bearer own"), false))).hasValue(FIRST);
      assertThat(ambiguous.sharingKeys()).containsExactly(FIRST, SECOND);
    }

    @Test
    void distinguishesThousandsOfKeys() {
      List<Workspace> workspaces = new ArrayList<>();
      for (int i = 0; i < 5_000; i++) {
        workspaces.add(workspace(WorkspaceId.of("w" + i), OptionalInt.empty(), "k" + i, "l" + i));
      }
      WorkspaceDirectory large = WorkspaceDirectory.of(workspaces);

      for (int i = 0; i < 5_000; i++) {
        assertThat(granted(large.authorize(List.of("Bearer l" + i), false)))
            .hasValue(WorkspaceId.of("w" + i));
      }
    }
  }

  @Nested
  class EffectivePriority {
    @Test
    void isThatOfTheWorkspaceIfItHasOne() {
      assertThat(directory.effectivePriority(Optional.of(FIRST), 3)).isEqualTo(1);
    }

    @Test
    void isElseThatOfTheRoute() {
      assertThat(directory.effectivePriority(Optional.of(SECOND), 3)).isEqualTo(3);
      assertThat(directory.effectivePriority(Optional.of(WorkspaceId.of("gone")), 3)).isEqualTo(3);
      assertThat(directory.effectivePriority(Optional.empty(), 3)).isEqualTo(3);
    }
  }

  @Test
  void textsContainNoKey() {
    assertThat(directory.workspaces().toString()).doesNotContain("key-");
    assertThat(directory.workspaces().toString()).doesNotContain(TokenDigest.of("key-2").toHex());
  }
}
