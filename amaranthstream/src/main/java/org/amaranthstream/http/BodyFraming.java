package org.amaranthstream.http;

/** How the end of a response body is found. */
sealed interface BodyFraming {
  /** The response has no body. */
  record None() implements BodyFraming {}

  /**
   * The body has a length.
   *
   * @param bytes the length
   */
  record Fixed(long bytes) implements BodyFraming {}

  /** The body is sent in chunks. */
  record Chunked() implements BodyFraming {}

  /** The body ends with its connection. */
  record UntilClose() implements BodyFraming {}
}
