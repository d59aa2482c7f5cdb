package org.amaranthstream.jobs;

/** Condition under which a peer takes over a job that is handed off. */
enum HandoffCondition {
  NONE,
  /** The peer must reach a backend server of the job. */
  REACHES_SERVERS
}
