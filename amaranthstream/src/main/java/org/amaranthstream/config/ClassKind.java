package org.amaranthstream.config;

/** What a class of work is for. */
public enum ClassKind {
  /** Calls that a person waits for. */
  INTERACTIVE,
  /** Samples of training steps. */
  TRAINING
}
