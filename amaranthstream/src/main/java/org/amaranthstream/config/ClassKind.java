package org.amaranthstream.config;

/** Purpose of a class of work. */
public enum ClassKind {
  /** Interactive calls, for whose responses a person waits. */
  INTERACTIVE,
  /** Generation of samples for training steps. */
  TRAINING
}
