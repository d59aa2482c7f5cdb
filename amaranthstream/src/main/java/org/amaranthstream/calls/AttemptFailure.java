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
   * The request may have run, and the response is missing or incomplete.
   *
   * @param reason the observed failure
   */
  record Broken(String reason) implements AttemptFailure {}
}
