package org.amaranthstream.config;

/** Which of the two measures an operator weighs more for a class of training work. */
public enum PriorityTarget {
  /** Trainer idle time counts more than staleness. */
  IDLE_TIME,
  /** Staleness counts more than trainer idle time. */
  STALENESS
}
