package org.amaranthstream.jobs;

/** Outcome of the attempt to take over a job. */
enum TakeoverOutcome {
  TAKEN,
  /** The job keeps its owner, unless another daemon takes it over. */
  NOT_TAKEN,
  /** The store did not confirm the takeover, which may still take effect. */
  UNKNOWN
}
