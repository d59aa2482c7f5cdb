package org.amaranthstream.rollout;

/** Events of steps that are counted. */
public enum RolloutEvent {
  /** A step was accepted for the first time. */
  STEP_ACCEPTED,
  /** A step was dropped because its trainer neither pulled nor submitted it for too long. */
  STEP_EXPIRED,
  /** The samples of a step were not complete at its deadline. */
  STEP_LATE,
  /** A page was sent in response to a pull. */
  PAGE_SENT,
  /** A waiting pull ended with an empty page because a newer pull of the same step arrived. */
  PULL_SUPERSEDED,
  /** A pull was forwarded to the entry VM that its token names. */
  PULL_FORWARDED,
  /** A pull was rejected because of its token. */
  TOKEN_REFUSED,
  /** A sample was sent in a page for the first time. */
  SAMPLE_SENT,
  /** A sample was sent again because no token acknowledged the earlier page. */
  SAMPLE_SENT_AGAIN,
  /** A complete sample was dropped because it was too old for its trainer. */
  SAMPLE_DROPPED_STALE,
  /** A running slot was cancelled because its sample would have been too old for its trainer. */
  SAMPLE_CANCELLED_STALE,
  /** A sample was dropped because its stream had no weight versions or a wrong token count. */
  SAMPLE_DROPPED_INVALID,
  /** A slot was not run and will be retried. */
  SLOT_NOT_RUN,
  /** The outcome of a running slot is unknown; the slot will be generated again. */
  SLOT_LOST
}
