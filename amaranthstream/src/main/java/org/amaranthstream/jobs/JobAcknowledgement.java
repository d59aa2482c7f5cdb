package org.amaranthstream.jobs;

/** What a successful change of a job returns: nothing but that it took effect. */
public enum JobAcknowledgement {
  ACCEPTED,
  ENDED
}
