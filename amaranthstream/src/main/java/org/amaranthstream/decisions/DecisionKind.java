package org.amaranthstream.decisions;

/** Kind of a decision about a request. */
public enum DecisionKind {
  /** The request was admitted. */
  ADMIT,
  /** The request was refused and not run. */
  REFUSE,
  /** The request was put into the queue of its pool. */
  QUEUE,
  /** The request was sent to a backend server. */
  PLACE,
  /** The request was forwarded to another availability zone. */
  FORWARD,
  /** The request is retried from the start. */
  RETRY,
  /** The request is resumed after the partial output. */
  RESUME,
  /** The request was cancelled. */
  CANCEL,
  /** The request was dropped at its deadline, or its result was discarded. */
  DROP,
  /** The request was refused because its content is quarantined. */
  QUARANTINE,
  /** The claim of the idempotency key changed; the choice names the event. */
  CLAIM,
  /** The request was answered completely. */
  COMPLETE,
  /** The request failed and is not retried. */
  FAIL
}
