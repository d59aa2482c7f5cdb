package org.amaranthstream.ids;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Generation of the operators' configuration; a greater number is newer.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the number, zero or more
 */
public record ConfigGeneration(long value) implements Comparable<ConfigGeneration> {

  /**
   * Creates a generation.
   *
   * @throws IllegalArgumentException if {@code value} is negative
   */
  public ConfigGeneration {
    checkArgument(value >= 0, "configuration generation is negative: %s", value);
  }

  /** Returns the generation with the given value. */
  public static ConfigGeneration of(long value) {
    return new ConfigGeneration(value);
  }

  /** Returns true if this generation is newer than {@code other}. */
  public boolean isAfter(ConfigGeneration other) {
    return value > other.value;
  }

  @Override
  public int compareTo(ConfigGeneration other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
