package org.amaranthstream.ids;

/**
 * Name of a class of work that operators define.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the text of the id, one to 128 characters of {@code A-Z a-z 0-9 . _ : -}
 */
public record WorkClassId(String value) implements Comparable<WorkClassId> {

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if {@code value} is empty, too long or has other characters
   */
  public WorkClassId {
    IdSyntax.check("work class id", value);
  }

  /** Returns the id with the given text. */
  public static WorkClassId of(String value) {
    return new WorkClassId(value);
  }

  @Override
  public int compareTo(WorkClassId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
