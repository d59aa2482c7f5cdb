package org.amaranthstream.jobs;

/** Acknowledgement that a change of a job has taken effect. */
public enum JobAcknowledgement {
  /** The job was accepted, or a peer has taken it over. */
  ACCEPTED,

  /** The job has ended. */
  ENDED
}
