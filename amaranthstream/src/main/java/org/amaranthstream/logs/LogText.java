package org.amaranthstream.logs;

import com.google.common.base.CharMatcher;

/** Representation of texts of other writers as one value in a line of key=value pairs. */
public final class LogText {
  private static final int MAX_LENGTH_CHARS = 200;
  private static final CharMatcher PLAIN =
      CharMatcher.inRange('a', 'z')
          .or(CharMatcher.inRange('A', 'Z'))
          .or(CharMatcher.inRange('0', '9'))
          .or(CharMatcher.anyOf("._:/+-"))
          .precomputed();

  private LogText() {}

  /**
   * Returns {@code text} as it is if it has only characters of ids and paths. Any other text is
   * quoted, so that it can neither end the line nor look like further pairs; a long one is cut off.
   */
  public static String of(String text) {
    boolean isPlain =
        !text.isEmpty() && text.length() <= MAX_LENGTH_CHARS && PLAIN.matchesAllOf(text);
    return isPlain ? text : quoted(text);
  }

  private static String quoted(String text) {
    StringBuilder quoted = new StringBuilder("\"");
    for (int i = 0; i < Math.min(text.length(), MAX_LENGTH_CHARS); i++) {
      append(quoted, text.charAt(i));
    }
    return quoted.append(text.length() > MAX_LENGTH_CHARS ? "...\"" : "\"").toString();
  }

  private static void append(StringBuilder quoted, char c) {
    if (c == '"' || c == '\\') {
      quoted.append('\\').append(c);
    } else if (c >= ' ' && c <= '~') {
      quoted.append(c);
    } else {
      quoted.append(String.format("\\u%04x", (int) c));
    }
  }
}
