package org.amaranthstream.rollout;

/** Chooses how many steps ahead of a trainer to generate. Implementations are pure. */
@FunctionalInterface
public interface GenerateAhead {

  /** Returns the choice for {@code input}. */
  GenerateAheadDecision decide(GenerateAheadInput input);

  /**
   * Returns the greatest number of steps ahead with which a sample is not older on arrival than the
   * bound, if it is generated under the trainer's version of its start.
   */
  static int maxStepsAhead(GenerateAheadInput input) {
    double versions = Math.max(input.versionsPerStep(), MIN_VERSIONS_PER_STEP);
    return (int) Math.floor(input.stalenessBound() / versions);
  }

  /** Versions that a step is taken to make at the least. */
  double MIN_VERSIONS_PER_STEP = 1.0;
}
