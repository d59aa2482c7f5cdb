package org.amaranthstream.once;

/** What is counted about claims. */
public enum ClaimEvent {
  /** A request may run. */
  RUN,
  /** A request with the same key runs already. */
  DUPLICATE_RUNNING,
  /** A request with the same key ran, and its answer is known. */
  ANSWER_REPEATED,
  /** A request with the same key may have run, and its answer is not known. */
  PRIOR_RUN_UNKNOWN,
  /** A claim was refused without a run. */
  REFUSED,
  /** A claim was given back because its request was not run. */
  RELEASED,
  /** A claim page was read. */
  PAGE_READ,
  /** A claim page was read that is older than one seen before. */
  STALE_READ,
  /** A write of a claim page was sent. */
  PAGE_WRITTEN,
  /** A write of a claim page found another revision. */
  WRITE_CONFLICT,
  /** The answer to a write of a claim page was lost. */
  WRITE_IN_DOUBT,
  /** An order was sent to the preferred claimant of its page. */
  ORDER_FORWARDED,
  /** A claim page was deleted after its keys expired. */
  PAGE_DELETED,
  /** A key was issued. */
  KEY_ISSUED
}
