package org.amaranthstream.rollout;

/** Chooses how many steps ahead of a trainer to generate. Implementations are pure. */
@FunctionalInterface
public interface GenerateAhead {

  /** Returns the choice for {@code input}. */
  GenerateAheadDecision decide(GenerateAheadInput input);

  /**
   * Returns the greatest number of steps ahead. One version of the bound is left for engines that
   * have not swapped to the trainer's version yet when a sample starts.
   */
  static int maxStepsAhead(GenerateAheadInput input) {
    double versions = Math.max(input.versionsPerStep(), MIN_VERSIONS_PER_STEP);
    int usable = Math.max(Math.min(1, input.stalenessBound()), input.stalenessBound() - 1);
    return (int) Math.floor(usable / versions);
  }

  /** Versions that a step is taken to make at the least. */
  double MIN_VERSIONS_PER_STEP = 1.0;
}
