package org.amaranthstream.ids;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Version of a model's weights; a greater number is newer.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the number, zero or more
 */
public record WeightVersion(long value) implements Comparable<WeightVersion> {

  /**
   * Creates a version.
   *
   * @throws IllegalArgumentException if {@code value} is negative
   */
  public WeightVersion {
    checkArgument(value >= 0, "weight version is negative: %s", value);
  }

  /** Returns the version with the given value. */
  public static WeightVersion of(long value) {
    return new WeightVersion(value);
  }

  /** Returns true if this version is newer than {@code other}. */
  public boolean isAfter(WeightVersion other) {
    return value > other.value;
  }

  @Override
  public int compareTo(WeightVersion other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
