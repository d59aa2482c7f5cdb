package org.amaranthstream.jobs;

/** Acknowledgement that a job was accepted or handed off, or that it has ended. */
public enum JobAcknowledgement {
  ACCEPTED,
  ENDED
}
