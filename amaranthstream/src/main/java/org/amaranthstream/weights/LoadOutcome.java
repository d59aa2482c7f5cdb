package org.amaranthstream.weights;

/** Outcome of a load order, counted in the state dump. */
public enum LoadOutcome {
  /** The server loaded the version. */
  LOADED,
  /** The server rejected the fencing token as outdated. */
  FENCED,
  /** The order was not written: the lease had too little time left. */
  WITHHELD,
  /** The order failed, or its response was lost. */
  FAILED
}
