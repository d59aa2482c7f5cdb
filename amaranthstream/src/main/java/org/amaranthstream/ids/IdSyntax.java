package org.amaranthstream.ids;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.CharMatcher;

/** The characters that the text of an id may have. */
final class IdSyntax {
  private static final int MAX_LENGTH_CHARS = 128;

  private static final CharMatcher ALLOWED =
      CharMatcher.inRange('a', 'z')
          .or(CharMatcher.inRange('A', 'Z'))
          .or(CharMatcher.inRange('0', '9'))
          .or(CharMatcher.anyOf("._:-"))
          .precomputed();

  private IdSyntax() {}

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
