package org.amaranthstream.jobs;

/** Outcome of one run of an item at one server. */
public sealed interface ItemRunOutcome {

  /** The server sent the complete stream. */
  record Complete() implements ItemRunOutcome {}

  /** The server is full or is swapping its weights; the item did not run. */
  record ServerFull() implements ItemRunOutcome {}

  /** Another incarnation uses the server's address; the item did not run. */
  record ServerReplaced() implements ItemRunOutcome {}

  /**
   * The server reported that it failed to run the item.
   *
   * @param status the HTTP status of the response
   */
  record Failed(int status) implements ItemRunOutcome {}

  /** The server rejected the item as one that no server can run, so it is not retried. */
  record Impossible() implements ItemRunOutcome {}

  /**
   * The stream ended early, or the connection failed; the item may have run in part.
   *
   * @param reason the observed failure, for the log
   */
  record Broken(String reason) implements ItemRunOutcome {}
}
