package org.amaranthstream.once;

/** What the claimant of a key knows about its request. */
public sealed interface PreviousAttempt {

  /** It runs. */
  record Running() implements PreviousAttempt {}

  /**
   * It ended, and its answer is kept.
   *
   * @param answer the answer
   */
  record Ended(CachedResponse response) implements PreviousAttempt {}

  /** It was never run and never will be under the claim in question. */
  record NeverRun() implements PreviousAttempt {}

  /** It may have run. */
  record Unknown() implements PreviousAttempt {}
}
