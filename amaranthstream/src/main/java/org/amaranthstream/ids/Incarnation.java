package org.amaranthstream.ids;

/**
 * Random identifier of one run of a process; every restart gets a new one.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the text of the id, one to 128 characters of {@code A-Z a-z 0-9 . _ : -}
 */
public record Incarnation(String value) implements Comparable<Incarnation> {

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if {@code value} is empty, too long or has other characters
   */
  public Incarnation {
    IdSyntax.check("incarnation", value);
  }

  /** Returns the id with the given text. */
  public static Incarnation of(String value) {
    return new Incarnation(value);
  }

  @Override
  public int compareTo(Incarnation other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
