package org.amaranthstream.ids;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Number that orders the holders of a lease; a greater number is a later holder.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the number, zero or more
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {

  /**
   * Creates a number.
   *
   * @throws IllegalArgumentException if {@code value} is negative
   */
  public FencingNumber {
    checkArgument(value >= 0, "fencing number is negative: %s", value);
  }

  /** Returns the number of the given value. */
  public static FencingNumber of(long value) {
    return new FencingNumber(value);
  }

  /** Returns true if this number is greater than {@code other}. */
  public boolean isAfter(FencingNumber other) {
    return value > other.value;
  }

  @Override
  public int compareTo(FencingNumber other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
