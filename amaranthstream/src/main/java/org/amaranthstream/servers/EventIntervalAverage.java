package org.amaranthstream.servers;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * Exponential moving average of the interval between two events of a server's streams.
 *
 * <p>The average expires after a time without events, so that a server that was slow is tried
 * again. Not thread safe. Callers pass times as monotonic nanoseconds.
 */
final class EventIntervalAverage {
  private static final Duration MAX_SAMPLE_AGE = Duration.ofMillis(2_500);
  private static final double SMOOTHING_FACTOR = 0.15;

  /** The number of samples below which the average is too uncertain to be used. */
  private static final int MIN_SAMPLES = 6;

  private double averageNanos;
  private int samples;
  private long lastSampleNanos;

  void add(long intervalNanos, long nowNanos) {
    if (isExpired(nowNanos)) {
      samples = 0;
    }
    averageNanos =
        samples == 0
            ? intervalNanos
            : averageNanos + (intervalNanos - averageNanos) * SMOOTHING_FACTOR;
    samples++;
    lastSampleNanos = nowNanos;
  }

  private boolean isExpired(long nowNanos) {
    return nowNanos - lastSampleNanos > MAX_SAMPLE_AGE.toNanos();
  }

  /** Returns the average, empty if there are too few samples or the last one is too old. */
  OptionalDouble averageNanos(long nowNanos) {
    boolean isKnown = samples >= MIN_SAMPLES && !isExpired(nowNanos);
    return isKnown ? OptionalDouble.of(averageNanos) : OptionalDouble.empty();
  }
}
