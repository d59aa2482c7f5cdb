package org.amaranthstream.ids;

/**
 * Name of a route in the operators' configuration.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the text of the id, one to 128 characters of {@code A-Z a-z 0-9 . _ : -}
 */
public record RouteId(String value) implements Comparable<RouteId> {

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if {@code value} is empty, too long or has other characters
   */
  public RouteId {
    IdSyntax.check("route id", value);
  }

  /** Returns the id with the given text. */
  public static RouteId of(String value) {
    return new RouteId(value);
  }

  @Override
  public int compareTo(RouteId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
