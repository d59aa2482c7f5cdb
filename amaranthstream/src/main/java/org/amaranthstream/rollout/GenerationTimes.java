package org.amaranthstream.rollout;

import java.time.Duration;
import java.util.Optional;

/** Measures how long the slots of a step take. Not thread safe. */
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

  /** Returns the time from the first start to the last whole sample, once there is one. */
  Optional<Duration> generation() {
    return generation;
  }

  /** Returns the time that the step takes if as many slots run all the time as ever did. */
  Optional<Duration> capacity() {
    return generation.map(any -> Duration.ofNanos(busyNanos / Math.max(1, maxRunning)));
  }
}
