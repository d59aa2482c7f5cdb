package org.amaranthstream.http;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Strict syntax of the lines of an HTTP/1 response.
 *
 * <p>No line may contain a second status line. It would show that the bytes in front of that are
 * the rest of another response, which broke off within the line. Lines are not folded.
 */
final class ResponseSyntax {
  private static final String TEXT = "[\\t\\x20-\\x7e\\x80-\\xff]*+";

  /** A status line with one of the statuses of HTTP (RFC 9110, section 15). */
  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.[01] ([1-5][0-9]{2})(?: " + TEXT + ")?");

  private static final Pattern FIELD =
      Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]++)[ \\t]*+:[ \\t]*+(" + TEXT + ")");
  private static final Pattern CHUNK_SIZE =
      Pattern.compile("([0-9A-Fa-f]{1,15})[ \\t]*(?:;" + TEXT + ")?");
  private static final Pattern SECOND_STATUS_LINE =
      Pattern.compile("(?s).HTTP/[0-9]\\.[0-9] [0-9]{3}(?![0-9])");
  private static final int HEXADECIMAL = 16;

  private ResponseSyntax() {}

  /**
   * A header or trailer field.
   *
   * @param name the name
   * @param value the value, without white space around it
   */
  record Field(String name, String value) {}

  /** Returns the status of a status line. */
  static int status(CharSequence line) throws MalformedResponseException {
    return Integer.parseInt(match(STATUS_LINE, line, "a status line").group(1));
  }

  /** Returns the field of a line of a head or trailer. */
  static Field field(CharSequence line) throws MalformedResponseException {
    Matcher field = match(FIELD, line, "a header field");
    return new Field(field.group(1), field.group(2).trim());
  }

  /** Returns the size that a line before a chunk names. */
  static long chunkSize(CharSequence line) throws MalformedResponseException {
    return Long.parseLong(match(CHUNK_SIZE, line, "the size of a chunk").group(1), HEXADECIMAL);
  }

  private static Matcher match(Pattern syntax, CharSequence line, String expected)
      throws MalformedResponseException {
    Matcher matcher = syntax.matcher(line);
    if (!matcher.matches()) {
      throw new MalformedResponseException("a line of the response is not " + expected);
    }
    if (SECOND_STATUS_LINE.matcher(line).find()) {
      throw new MalformedResponseException("a line of the response contains a status line");
    }
    return matcher;
  }
}
