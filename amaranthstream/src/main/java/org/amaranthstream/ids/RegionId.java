package org.amaranthstream.ids;

/**
 * Name of a region.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the text of the id, one to 128 characters of {@code A-Z a-z 0-9 . _ : -}
 */
public record RegionId(String value) implements Comparable<RegionId> {

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if {@code value} is empty, too long or has other characters
   */
  public RegionId {
    IdSyntax.check("region id", value);
  }

  /** Returns the id with the given text. */
  public static RegionId of(String value) {
    return new RegionId(value);
  }

  @Override
  public int compareTo(RegionId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
