package org.amaranthstream.rollout;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Bounds of what an entry VM keeps for steps.
 *
 * @param windowSlots slots of one step that may be outstanding
 * @param maxPageSamples samples of one page
 * @param maxPageChars characters of the texts of one page, unless its only sample is longer
 * @param maxStepsPerTrainer steps of one trainer that are kept
 * @param maxTrainers trainers whose steps are kept
 * @param maxBufferedChars characters of finished samples beyond which no step ahead is generated
 * @param stepRetention time after its last pull or submission when a step is dropped
 */
public record RolloutLimits(
    int windowSlots,
    int maxPageSamples,
    int maxPageChars,
    int maxStepsPerTrainer,
    int maxTrainers,
    long maxBufferedChars,
    Duration stepRetention) {
  private static final RolloutLimits DEFAULTS =
      new RolloutLimits(256, 256, 1 << 20, 8, 16, 16L << 20, Duration.ofMinutes(20));

  /** Creates limits. */
  public RolloutLimits {
    checkArgument(windowSlots > 0, "windowSlots is not positive: %s", windowSlots);
    checkArgument(maxPageSamples > 0, "maxPageSamples is not positive: %s", maxPageSamples);
    checkArgument(maxPageChars > 0, "maxPageChars is not positive: %s", maxPageChars);
    checkArgument(maxStepsPerTrainer > 0, "maxStepsPerTrainer: %s", maxStepsPerTrainer);
    checkArgument(maxTrainers > 0, "maxTrainers is not positive: %s", maxTrainers);
    checkArgument(maxBufferedChars > 0, "maxBufferedChars is not positive: %s", maxBufferedChars);
    checkArgument(!stepRetention.isNegative(), "stepRetention is negative: %s", stepRetention);
  }

  /** Returns the limits of an entry VM whose settings name none. */
  public static RolloutLimits defaults() {
    return DEFAULTS;
  }
}
