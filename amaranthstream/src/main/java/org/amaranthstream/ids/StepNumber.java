package org.amaranthstream.ids;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Number of a training step of one trainer; a greater number is later.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the number, zero or more
 */
public record StepNumber(long value) implements Comparable<StepNumber> {

  /**
   * Creates a step number.
   *
   * @throws IllegalArgumentException if {@code value} is negative
   */
  public StepNumber {
    checkArgument(value >= 0, "step number is negative: %s", value);
  }

  /** Returns the step number with the given value. */
  public static StepNumber of(long value) {
    return new StepNumber(value);
  }

  /** Returns true if this step is later than {@code other}. */
  public boolean isAfter(StepNumber other) {
    return value > other.value;
  }

  @Override
  public int compareTo(StepNumber other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
