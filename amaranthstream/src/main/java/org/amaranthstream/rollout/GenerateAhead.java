package org.amaranthstream.rollout;

/** A policy that chooses how many steps ahead of a trainer to generate. Must be a pure function. */
@FunctionalInterface
public interface GenerateAhead {

  /** Returns the decision for {@code input}. */
  GenerateAheadDecision decide(GenerateAheadInput input);

  /**
   * Returns the greatest number of steps ahead that the staleness bound allows. One version of the
   * bound is reserved for engines that have not loaded the trainer's version yet when a sample
   * starts.
   */
  static int maxStepsAhead(GenerateAheadInput input) {
    double versions = Math.max(input.versionsPerStep(), MIN_VERSIONS_PER_STEP);
    int usable = Math.max(Math.min(1, input.stalenessBound()), input.stalenessBound() - 1);
    return (int) Math.floor(usable / versions);
  }

  /** The least number of weight versions that a step is assumed to produce. */
  double MIN_VERSIONS_PER_STEP = 1.0;
}
