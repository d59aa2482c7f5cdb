package org.amaranthstream.rollout;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Always the same number of steps ahead, but never more than the staleness bound allows.
 *
 * @param stepsAhead the number of steps
 */
public record FixedGenerateAhead(int stepsAhead) implements GenerateAhead {

  /** Creates a policy. */
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
