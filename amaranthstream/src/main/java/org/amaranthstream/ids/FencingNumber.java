package org.amaranthstream.ids;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Fencing token that orders the holders of a leader lease; a later holder has a greater number.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the number, zero or more
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {

  /**
   * Creates a fencing token.
   *
   * @throws IllegalArgumentException if {@code value} is negative
   */
  public FencingNumber {
    checkArgument(value >= 0, "fencing number is negative: %s", value);
  }

  /** Returns the fencing token with the given number. */
  public static FencingNumber of(long value) {
    return new FencingNumber(value);
  }

  /** Returns true if the holder of this token is later than the one of {@code other}. */
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
