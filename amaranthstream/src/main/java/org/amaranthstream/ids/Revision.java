package org.amaranthstream.ids;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Revision of data in the platform's key-value service; a greater number is newer.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the number, zero or more
 */
public record Revision(long value) implements Comparable<Revision> {

  /**
   * Creates a revision.
   *
   * @throws IllegalArgumentException if {@code value} is negative
   */
  public Revision {
    checkArgument(value >= 0, "revision is negative: %s", value);
  }

  /** Returns the revision with the given value. */
  public static Revision of(long value) {
    return new Revision(value);
  }

  /** Returns true if this revision is newer than {@code other}. */
  public boolean isAfter(Revision other) {
    return value > other.value;
  }

  @Override
  public int compareTo(Revision other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
