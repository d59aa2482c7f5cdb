package org.amaranthstream.ids;

/**
 * Key shared by requests with a common prompt prefix.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the text of the key, one to 128 characters of {@code A-Z a-z 0-9 . _ : -}
 */
public record AffinityKey(String value) implements Comparable<AffinityKey> {

  /**
   * Creates a key.
   *
   * @throws IllegalArgumentException if {@code value} is empty, too long or has other characters
   */
  public AffinityKey {
    IdSyntax.check("affinity key", value);
  }

  /** Returns the key with the given text. */
  public static AffinityKey of(String value) {
    return new AffinityKey(value);
  }

  @Override
  public int compareTo(AffinityKey other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
