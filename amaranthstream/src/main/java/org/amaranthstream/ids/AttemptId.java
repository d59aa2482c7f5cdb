package org.amaranthstream.ids;

/**
 * Identifier of one attempt to run a request on one backend server.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the text of the id, one to 128 characters of {@code A-Z a-z 0-9 . _ : -}
 */
public record AttemptId(String value) implements Comparable<AttemptId> {

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if {@code value} is empty, too long or has other characters
   */
  public AttemptId {
    IdSyntax.check("attempt id", value);
  }

  /** Returns the id with the given text. */
  public static AttemptId of(String value) {
    return new AttemptId(value);
  }

  @Override
  public int compareTo(AttemptId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
