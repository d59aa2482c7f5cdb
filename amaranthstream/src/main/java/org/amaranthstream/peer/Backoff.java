package org.amaranthstream.peer;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff: the pause doubles with each failure up to a maximum. Its upper half is
 * random, so that many clients do not retry at the same time.
 *
 * <p>Not thread safe.
 */
final class Backoff {
  private static final int MAX_DOUBLINGS = 20;

  private final long minNanos;
  private final long maxNanos;
  private final RandomGenerator random;
  private int failures;

  Backoff(Duration min, Duration max, RandomGenerator random) {
    this.minNanos = min.toNanos();
    this.maxNanos = max.toNanos();
    this.random = random;
  }

  /** Counts a failure and returns the pause before the next attempt. */
  Duration next() {
    long ceiling = Math.min(maxNanos, minNanos << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    long half = ceiling / 2;
    return Duration.ofNanos(half + random.nextLong(ceiling - half + 1));
  }

  /** Resets the number of failures after a success. */
  void reset() {
    failures = 0;
  }
}
