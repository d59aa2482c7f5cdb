package org.amaranthstream.idempotency;

/** The state of an earlier request with the same key, as the claimant of the key reports it. */
public sealed interface PreviousAttempt {

  /** The request is running, or its claim is being written. */
  record Running() implements PreviousAttempt {}

  /**
   * The request ended, and its response is cached.
   *
   * @param response the response
   */
  record Ended(CachedResponse response) implements PreviousAttempt {}

  /**
   * No request ran under the claim in question, and none will. If the query was for an issued key,
   * the key has not been used yet.
   */
  record NeverRun() implements PreviousAttempt {}

  /** The request may have run. */
  record Unknown() implements PreviousAttempt {}
}
