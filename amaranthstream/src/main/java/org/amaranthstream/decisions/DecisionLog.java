package org.amaranthstream.decisions;

/**
 * Log of decision records. Implementations never block; they may drop a record instead, and count
 * it.
 */
@FunctionalInterface
public interface DecisionLog {

  /** Logs a record. */
  void record(DecisionRecord decision);
}
