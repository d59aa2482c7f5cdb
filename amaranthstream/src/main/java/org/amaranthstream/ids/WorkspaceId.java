package org.amaranthstream.ids;

/**
 * Name of a workspace: a customer whose callers share keys, jobs and a priority.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the text of the id, one to 128 characters of {@code A-Z a-z 0-9 . _ : -}
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if {@code value} is empty, too long or has other characters
   */
  public WorkspaceId {
    IdSyntax.check("workspace id", value);
  }

  /** Returns the id with the given text. */
  public static WorkspaceId of(String value) {
    return new WorkspaceId(value);
  }

  @Override
  public int compareTo(WorkspaceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
