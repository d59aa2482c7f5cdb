package org.amaranthstream.calls;

/** Why an attempt gave no whole answer. */
public sealed interface AttemptFailure {

  /**
   * No byte of the request was sent.
   *
   * @param reason what was seen
   */
  record NotSent(String reason) implements AttemptFailure {}

  /**
   * The server says that it did not run the request.
   *
   * @param reason what it said
   */
  record NotRun(String reason) implements AttemptFailure {}

  /** Another incarnation has the server's address; the request did not run. */
  record ServerReplaced() implements AttemptFailure {}

  /**
   * The request may have run, and there is no whole answer.
   *
   * @param reason what was seen
   */
  record Broken(String reason) implements AttemptFailure {}
}
