package org.amaranthstream.dispatch;

import java.time.Duration;
import java.util.Optional;

/** Result of an attempt on a backend server. */
public sealed interface AttemptEnd {

  /**
   * The complete response arrived, with its end marker or at its declared length.
   *
   * @param response metadata of the response
   */
  record Finished(CompletedResponse response) implements AttemptEnd {}

  /**
   * No byte of the request was written to a connection.
   *
   * @param reason the error that prevented sending
   */
  record NotSent(String reason) implements AttemptEnd {}

  /**
   * The backend server reported that it did not run the request.
   *
   * @param reason the reason that the server gave
   * @param draining true if the server reported that it is draining
   * @param retryAfter the delay after which the server accepts a retry, if it gave one
   */
  record Rejected(String reason, boolean draining, Optional<Duration> retryAfter)
      implements AttemptEnd {}

  /**
   * The connection was lost after bytes of the request may have been sent and before the response
   * was complete.
   *
   * @param reason the connection error
   */
  record Broken(String reason) implements AttemptEnd {}

  /**
   * The response violated the protocol, for example by a wrong attempt id or missing tokens.
   *
   * @param reason the violation
   */
  record Invalid(String reason) implements AttemptEnd {}

  /**
   * The server responded with an error that does not rule out that it ran the request.
   *
   * @param reason the error
   */
  record Failed(String reason) implements AttemptEnd {}
}
