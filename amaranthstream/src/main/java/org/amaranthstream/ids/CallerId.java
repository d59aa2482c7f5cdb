package org.amaranthstream.ids;

/**
 * Name of a caller, which the settings assign to a token.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the text of the id, one to 128 characters of {@code A-Z a-z 0-9 . _ : -}
 */
public record CallerId(String value) implements Comparable<CallerId> {

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if {@code value} is empty, too long or has other characters
   */
  public CallerId {
    IdSyntax.check("caller id", value);
  }

  /** Returns the id with the given text. */
  public static CallerId of(String value) {
    return new CallerId(value);
  }

  @Override
  public int compareTo(CallerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
