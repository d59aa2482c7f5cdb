package org.amaranthstream.decisions;

/** Consumer of decision records, which stores them. Called on one thread. */
@FunctionalInterface
public interface DecisionSink {

  /** Stores a record. */
  void accept(DecisionRecord decision);
}
