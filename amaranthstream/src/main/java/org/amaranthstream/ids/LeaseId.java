package org.amaranthstream.ids;

/**
 * Identifier of a lease in the platform's key-value service.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the text of the id, one to 128 characters of {@code A-Z a-z 0-9 . _ : -}
 */
public record LeaseId(String value) implements Comparable<LeaseId> {

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if {@code value} is empty, too long or has other characters
   */
  public LeaseId {
    IdSyntax.check("lease id", value);
  }

  /** Returns the id with the given text. */
  public static LeaseId of(String value) {
    return new LeaseId(value);
  }

  @Override
  public int compareTo(LeaseId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
