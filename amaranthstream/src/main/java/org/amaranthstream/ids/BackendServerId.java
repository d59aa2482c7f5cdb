package org.amaranthstream.ids;

/**
 * Name of a backend server (a model engine or a plain service).
 *
 * <p>Immutable and thread safe.
 *
 * @param value the text of the id, one to 128 characters of {@code A-Z a-z 0-9 . _ : -}
 */
public record BackendServerId(String value) implements Comparable<BackendServerId> {

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if {@code value} is empty, too long or has other characters
   */
  public BackendServerId {
    IdSyntax.check("backend server id", value);
  }

  /** Returns the id with the given text. */
  public static BackendServerId of(String value) {
    return new BackendServerId(value);
  }

  @Override
  public int compareTo(BackendServerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
