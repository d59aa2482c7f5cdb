package org.amaranthstream.admission;

/** Priority of a request at the backend server; lower ordinals go first. */
public enum Priority {
  /** A person waits for the answer. */
  INTERACTIVE,
  /** A trainer waits for the sample. */
  TRAINING
}
