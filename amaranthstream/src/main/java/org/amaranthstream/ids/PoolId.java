package org.amaranthstream.ids;

/**
 * Name of a pool of backend servers that serve the same model or service.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the text of the id, one to 128 characters of {@code A-Z a-z 0-9 . _ : -}
 */
public record PoolId(String value) implements Comparable<PoolId> {

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if {@code value} is empty, too long or has other characters
   */
  public PoolId {
    IdSyntax.check("pool id", value);
  }

  /** Returns the id with the given text. */
  public static PoolId of(String value) {
    return new PoolId(value);
  }

  @Override
  public int compareTo(PoolId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
