package org.amaranthstream.weights;

/** How orders to model engines ended, for counting. */
public enum LoadOutcome {
  /** The server loaded the version. */
  LOADED,
  /** The server refused the fencing number. */
  FENCED,
  /** The lease was too short to write the order. */
  WITHHELD,
  /** The order failed, or its answer was lost. */
  FAILED
}
