package org.amaranthstream.calls;

/** Reason why an attempt did not produce a complete response. */
public sealed interface AttemptFailure {

  /**
   * No byte of the request was sent.
   *
   * @param reason the observed failure
   */
  record NotSent(String reason) implements AttemptFailure {}

  /**
   * The server reported that it did not run the request.
   *
   * @param reason the reason that the server reported
   */
  record NotRun(String reason) implements AttemptFailure {}

  /** Another incarnation uses the server's address; the request did not run. */
  record ServerReplaced() implements AttemptFailure {}

  /**
   * The request may have run, and the connection was lost before the response was complete. The
   * server may have crashed.
   *
   * @param reason the observed failure
   */
  record ConnectionLost(String reason) implements AttemptFailure {}

  /**
   * The request may have run, and the response is invalid.
   *
   * @param reason the observed failure
   */
  record Broken(String reason) implements AttemptFailure {}

  /** Returns true if the server may have run the request. */
  default boolean mayHaveRun() {
    return this instanceof Broken || this instanceof ConnectionLost;
  }
}
