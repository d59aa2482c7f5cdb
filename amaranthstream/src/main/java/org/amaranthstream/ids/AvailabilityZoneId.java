package org.amaranthstream.ids;

/**
 * Name of an availability zone, unique over all regions.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the text of the id, one to 128 characters of {@code A-Z a-z 0-9 . _ : -}
 */
public record AvailabilityZoneId(String value) implements Comparable<AvailabilityZoneId> {

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if {@code value} is empty, too long or has other characters
   */
  public AvailabilityZoneId {
    IdSyntax.check("availability zone id", value);
  }

  /** Returns the id with the given text. */
  public static AvailabilityZoneId of(String value) {
    return new AvailabilityZoneId(value);
  }

  @Override
  public int compareTo(AvailabilityZoneId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
