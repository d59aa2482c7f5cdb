package org.amaranthstream.dispatch;

import java.time.Duration;
import java.util.Optional;

/** How an attempt on a backend server ended. */
public sealed interface AttemptEnd {

  /**
   * The whole answer arrived with its end marker or declared length.
   *
   * @param response the end of the answer
   */
  record Finished(CompletedResponse response) implements AttemptEnd {}

  /**
   * No byte of the request was handed to a connection.
   *
   * @param reason what was seen
   */
  record NotSent(String reason) implements AttemptEnd {}

  /**
   * The backend server said that it did not run the request.
   *
   * @param reason what it said
   * @param draining true if it said that it leaves
   * @param retryAfter when it asks to come back
   */
  record Rejected(String reason, boolean draining, Optional<Duration> retryAfter)
      implements AttemptEnd {}

  /**
   * The connection ended after bytes may have left and before the answer was whole.
   *
   * @param reason what was seen
   */
  record Broken(String reason) implements AttemptEnd {}

  /**
   * The answer broke the protocol: wrong echo, gap, no end marker.
   *
   * @param reason what was seen
   */
  record Invalid(String reason) implements AttemptEnd {}

  /** The server answered that it failed to run the request: it ran. */
  record Failed(String reason) implements AttemptEnd {}
}
