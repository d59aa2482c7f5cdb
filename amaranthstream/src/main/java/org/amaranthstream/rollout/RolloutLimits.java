package org.amaranthstream.rollout;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The limits of an entry VM for steps.
 *
 * @param windowSlots greatest number of running slots of one step
 * @param maxPageSamples greatest number of samples of one page
 * @param maxPageChars greatest number of characters of the texts of one page, unless its only
 *     sample is longer
 * @param maxStepsPerTrainer greatest number of open steps of one trainer
 * @param maxTrainers greatest number of trainers with open steps
 * @param maxBufferedChars number of characters of ready samples from which on no slots of steps
 *     ahead start
 * @param stepRetention time from the last pull or submission of a step until it is dropped
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

  /**
   * Creates limits.
   *
   * @throws IllegalArgumentException if a number is not positive or {@code stepRetention} is
   *     negative
   */
  public RolloutLimits {
    checkArgument(windowSlots > 0, "windowSlots is not positive: %s", windowSlots);
    checkArgument(maxPageSamples > 0, "maxPageSamples is not positive: %s", maxPageSamples);
    checkArgument(maxPageChars > 0, "maxPageChars is not positive: %s", maxPageChars);
    checkArgument(
        maxStepsPerTrainer > 0, "maxStepsPerTrainer is not positive: %s", maxStepsPerTrainer);
    checkArgument(maxTrainers > 0, "maxTrainers is not positive: %s", maxTrainers);
    checkArgument(maxBufferedChars > 0, "maxBufferedChars is not positive: %s", maxBufferedChars);
    checkArgument(!stepRetention.isNegative(), "stepRetention is negative: %s", stepRetention);
  }

  /** Returns the default limits. */
  public static RolloutLimits defaults() {
    return DEFAULTS;
  }
}
