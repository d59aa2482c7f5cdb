package org.amaranthstream.rollout;

import org.amaranthstream.ids.WeightVersion;

/** A forecast of the weight version that a trainer will have when it pulls a step. Pure. */
@FunctionalInterface
public interface VersionForecast {

  /**
   * Returns the version that the trainer is expected to have when it pulls a step.
   *
   * @param trainerVersion the trainer's version now
   * @param stepsAhead how many steps the step is ahead of the trainer's current one
   * @param versionsPerStep versions that the trainer makes with each step
   */
  WeightVersion forecast(WeightVersion trainerVersion, long stepsAhead, double versionsPerStep);

  /** Returns a forecast that adds {@code versionsPerStep} for each step ahead, rounded down. */
  static VersionForecast linear() {
    return (trainerVersion, stepsAhead, versionsPerStep) ->
        WeightVersion.of(
            trainerVersion.value() + (long) Math.floor(Math.max(0, stepsAhead) * versionsPerStep));
  }
}
