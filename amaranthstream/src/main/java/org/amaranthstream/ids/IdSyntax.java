package org.amaranthstream.ids;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.CharMatcher;

/**
 * Validation of the text of ids: one to 128 characters of {@code A-Z a-z 0-9 . _ : -}. Thread safe.
 */
final class IdSyntax {
  private static final int MAX_LENGTH_CHARS = 128;

  private static final CharMatcher ALLOWED =
      CharMatcher.inRange('a', 'z')
          .or(CharMatcher.inRange('A', 'Z'))
          .or(CharMatcher.inRange('0', '9'))
          .or(CharMatcher.anyOf("._:-"))
          .precomputed();

  private IdSyntax() {}

  /**
   * Checks that {@code value} is a valid id.
   *
   * @param label the name of the value in error messages
   * @throws IllegalArgumentException if {@code value} is empty, too long or has other characters
   */
  static void check(String label, String value) {
    checkNotNull(value, "%s", label);
    checkArgument(!value.isEmpty(), "%s is empty", label);
    checkArgument(
        value.length() <= MAX_LENGTH_CHARS,
        "%s has %s characters, at most %s are allowed",
        label,
        value.length(),
        MAX_LENGTH_CHARS);
    checkArgument(ALLOWED.matchesAllOf(value), "%s has a character outside [A-Za-z0-9._:-]", label);
  }
}
