package org.amaranthstream.ids;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Version of the software that a backend server runs, as opposed to the version of its weights.
 *
 * <p>Two versions are compatible only if they are equal: a stream that one of them began cannot
 * continue at the other. The text has no order. Immutable and thread safe.
 *
 * @param value the text that the server reports, one to 128 characters
 */
public record SoftwareVersion(String value) {
  private static final int MAX_LENGTH = 128;

  /**
   * Creates a version.
   *
   * @throws IllegalArgumentException if {@code value} is empty or too long
   */
  public SoftwareVersion {
    checkArgument(
        !value.isEmpty() && value.length() <= MAX_LENGTH,
        "software version must have 1 to %s characters, but was '%s'",
        MAX_LENGTH,
        value);
  }

  /** Returns the version with the given text. */
  public static SoftwareVersion of(String value) {
    return new SoftwareVersion(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
