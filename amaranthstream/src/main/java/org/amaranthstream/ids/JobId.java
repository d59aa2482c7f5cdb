package org.amaranthstream.ids;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Comparator;
import java.util.Optional;

/**
 * Name of a batch job: a caller's text within the caller's workspace.
 *
 * <p>Jobs of different workspaces are different jobs, also if their callers use the same text.
 * Immutable and thread safe.
 *
 * @param workspace the workspace whose job it is, empty where no workspaces are configured
 * @param value the caller's text, one to 128 characters of {@code A-Z a-z 0-9 . _ : -}
 */
public record JobId(Optional<WorkspaceId> workspace, String value) implements Comparable<JobId> {
  /** Leaves room for the rest of a key of the store, which has at most 200 bytes. */
  private static final int MAX_LENGTH_CHARS = 160;

  /** Marks a workspace in {@link #toString}; no id contains it. */
  private static final String WORKSPACE_MARK = "@";

  private static final char SEPARATOR = '/';

  private static final Comparator<JobId> ORDER =
      Comparator.comparing(JobId::value).thenComparing(JobId::toString);

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if {@code value} is empty, too long or has other characters,
   *     or if it is too long together with the name of the workspace
   */
  public JobId {
    checkNotNull(workspace, "workspace");
    IdSyntax.check("job id", value);
    int length = value.length() + workspace.map(id -> id.value().length()).orElse(0);
    checkArgument(
        length <= MAX_LENGTH_CHARS,
        "job id and workspace id have %s characters, at most %s are allowed",
        length,
        MAX_LENGTH_CHARS);
  }

  /** Returns the id of a job without workspace. */
  public static JobId of(String value) {
    return new JobId(Optional.empty(), value);
  }

  /** Returns the id of a job of {@code workspace}. */
  public static JobId of(Optional<WorkspaceId> workspace, String value) {
    return new JobId(workspace, value);
  }

  /**
   * Returns the id with the text that {@link #toString} returns.
   *
   * @throws IllegalArgumentException if it is not the text of an id
   */
  public static JobId parse(String text) {
    if (!text.startsWith(WORKSPACE_MARK)) {
      return of(text);
    }
    int separator = text.indexOf(SEPARATOR);
    checkArgument(separator > 0, "job id has a workspace but no text after it");
    WorkspaceId workspace = WorkspaceId.of(text.substring(1, separator));
    return of(Optional.of(workspace), text.substring(separator + 1));
  }

  @Override
  public int compareTo(JobId other) {
    return ORDER.compare(this, other);
  }

  /** Returns the id as it stands in keys of the store and in logs: {@code @WORKSPACE/ID}. */
  @Override
  public String toString() {
    return workspace.map(id -> WORKSPACE_MARK + id + SEPARATOR + value).orElse(value);
  }
}
