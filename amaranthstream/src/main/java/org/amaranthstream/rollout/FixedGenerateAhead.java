package org.amaranthstream.rollout;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A policy with a fixed number of steps ahead, limited by the staleness bound.
 *
 * @param stepsAhead number of steps to generate ahead
 */
public record FixedGenerateAhead(int stepsAhead) implements GenerateAhead {

  /**
   * Creates a policy.
   *
   * @throws IllegalArgumentException if {@code stepsAhead} is negative
   */
  public FixedGenerateAhead {
    checkArgument(stepsAhead >= 0, "stepsAhead is negative: %s", stepsAhead);
  }

  @Override
  public GenerateAheadDecision decide(GenerateAheadInput input) {
    int max = GenerateAhead.maxStepsAhead(input);
    return new GenerateAheadDecision(
        Math.min(stepsAhead, max), String.format("fixed at %d, bound allows %d", stepsAhead, max));
  }
}
