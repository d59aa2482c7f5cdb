package org.amaranthstream.config;

/** The target that has priority over the other one for a class of training work. */
public enum PriorityTarget {
  /** Low trainer idle time has priority over low staleness. */
  IDLE_TIME,
  /** Low staleness has priority over low trainer idle time. */
  STALENESS
}
