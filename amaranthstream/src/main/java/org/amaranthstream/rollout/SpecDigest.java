package org.amaranthstream.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A digest of a step's specification.
 *
 * @param value 32 hexadecimal digits
 */
public record SpecDigest(String value) {
  static final int LENGTH_CHARS = 32;

  /**
   * Creates a digest.
   *
   * @throws IllegalArgumentException if {@code value} is not 32 characters long
   */
  public SpecDigest {
    checkNotNull(value, "value");
    checkArgument(
        value.length() == LENGTH_CHARS, "digest has %s characters, expected 32", value.length());
  }

  /** Returns the digest with the text {@code value}. */
  public static SpecDigest of(String value) {
    return new SpecDigest(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
