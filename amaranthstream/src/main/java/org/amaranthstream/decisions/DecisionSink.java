package org.amaranthstream.decisions;

/** Keeper of decision records. Called on one thread. */
@FunctionalInterface
public interface DecisionSink {

  /** Keeps a record. */
  void accept(DecisionRecord decision);
}
