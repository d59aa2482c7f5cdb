package org.amaranthstream.decisions;

/** Receiver of decision records. Never blocks; a full ring drops the record and counts it. */
@FunctionalInterface
public interface DecisionLog {

  /** Takes a record. */
  void record(DecisionRecord decision);
}
