package org.amaranthstream.rollout;

/** What is counted about steps. */
public enum RolloutEvent {
  /** A step was accepted for the first time. */
  STEP_ACCEPTED,
  /** A step was dropped because its trainer did not ask for it. */
  STEP_EXPIRED,
  /** A step's slots were not whole by its deadline. */
  STEP_LATE,
  /** A pull was answered with a page. */
  PAGE_SENT,
  /** A pull was answered empty because a newer one of the same step arrived. */
  PULL_SUPERSEDED,
  /** A pull was forwarded to the entry VM that its token names. */
  PULL_FORWARDED,
  /** A pull was refused for its token. */
  TOKEN_REFUSED,
  /** A sample was put on a page. */
  SAMPLE_SENT,
  /** A sample was put on a page again, since the trainer did not keep the earlier page. */
  SAMPLE_SENT_AGAIN,
  /** A finished sample was too old for its trainer. */
  SAMPLE_DROPPED_STALE,
  /** A running sample would have been too old for its trainer. */
  SAMPLE_CANCELLED_STALE,
  /** A stream ended without weight versions, or with another length than it stated. */
  SAMPLE_DROPPED_INVALID,
  /** A slot was not run and is to be tried again. */
  SLOT_NOT_RUN,
  /** A slot was lost while it ran and is to be generated again. */
  SLOT_LOST
}
