package org.amaranthstream.jobs;

/** How a run of an item ended. */
public sealed interface ItemRunOutcome {

  /** The stream is whole. */
  record Complete() implements ItemRunOutcome {}

  /** The server is full, or swaps its weights; the item did not run. */
  record ServerFull() implements ItemRunOutcome {}

  /** Another incarnation has the server's address; the item did not run. */
  record ServerReplaced() implements ItemRunOutcome {}

  /**
   * The server failed the item.
   *
   * @param status the HTTP status
   */
  record Failed(int status) implements ItemRunOutcome {}

  /** The item can never be done. */
  record Impossible() implements ItemRunOutcome {}

  /**
   * The stream broke off, or no connection was made.
   *
   * @param reason what was seen
   */
  record Broken(String reason) implements ItemRunOutcome {}
}
