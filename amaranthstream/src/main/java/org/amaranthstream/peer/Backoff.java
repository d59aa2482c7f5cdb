package org.amaranthstream.peer;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Pauses between tries: each is up to twice the one before, capped, with jitter over its upper half
 * so that many clients do not come back at once.
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

  /** Returns the pause after one more failure. */
  Duration next() {
    long ceiling = Math.min(maxNanos, minNanos << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    long half = ceiling / 2;
    return Duration.ofNanos(half + random.nextLong(ceiling - half + 1));
  }

  /** Starts over after a success. */
  void reset() {
    failures = 0;
  }
}
