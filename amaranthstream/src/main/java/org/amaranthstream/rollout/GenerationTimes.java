package org.amaranthstream.rollout;

import java.time.Duration;
import java.util.Optional;

/** Measurements of the generation time of a step. Not thread safe. */
final class GenerationTimes {
  private Optional<Duration> generation = Optional.empty();
  private long busyNanos;
  private int maxRunning;

  void onStart(int running) {
    maxRunning = Math.max(maxRunning, running);
  }

  void onSlotComplete(long elapsedNanos) {
    busyNanos += elapsedNanos;
  }

  void onStepComplete(Duration time) {
    if (generation.isEmpty()) {
      generation = Optional.of(time);
    }
  }

  /**
   * Returns the time from the start of the first slot until all slots were complete, or empty
   * before that.
   */
  Optional<Duration> generation() {
    return generation;
  }

  /**
   * Returns the time that the step would take if the greatest number of slots that ever ran at once
   * ran all the time, or empty before all slots are complete.
   */
  Optional<Duration> engineTime() {
    return generation.map(any -> Duration.ofNanos(busyNanos / Math.max(1, maxRunning)));
  }
}
