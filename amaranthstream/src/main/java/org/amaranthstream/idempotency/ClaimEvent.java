package org.amaranthstream.idempotency;

/** An event of claims that is counted. The names are printed in decision records. */
public enum ClaimEvent {
  /** A request may run. */
  RUN,
  /** A request was rejected because a request with the same key is running. */
  DUPLICATE_RUNNING,
  /** A request with the same key ran, and its cached response was returned again. */
  ANSWER_REPEATED,
  /** A request with the same key may have run, and its response is not available. */
  PRIOR_RUN_UNKNOWN,
  /** A key was not claimed, so its request was not run. */
  REFUSED,
  /** A claim was released because its request was not run. */
  RELEASED,
  /** A claim page was read. */
  PAGE_READ,
  /** A read returned an older revision of a claim page than an earlier read or write. */
  STALE_READ,
  /** A write of a claim page was sent. */
  PAGE_WRITTEN,
  /** A write of a claim page was rejected because the page had another revision. */
  WRITE_CONFLICT,
  /** The reply to a write of a claim page was lost, so its outcome is unknown. */
  WRITE_IN_DOUBT,
  /** A page update was forwarded to the preferred claimant of the page. */
  ORDER_FORWARDED,
  /** A claim page was deleted after its keys expired. */
  PAGE_DELETED,
  /** A key was issued. */
  KEY_ISSUED
}
