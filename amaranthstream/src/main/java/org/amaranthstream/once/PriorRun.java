package org.amaranthstream.once;

/** What the claimant of a key knows about its request. */
public sealed interface PriorRun {

  /** It runs. */
  record Running() implements PriorRun {}

  /**
   * It ended, and its answer is kept.
   *
   * @param answer the answer
   */
  record Ended(StoredAnswer answer) implements PriorRun {}

  /** It was never run and never will be under the claim in question. */
  record NeverRun() implements PriorRun {}

  /** It may have run. */
  record Unknown() implements PriorRun {}
}
