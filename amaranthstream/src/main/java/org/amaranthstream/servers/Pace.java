package org.amaranthstream.servers;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * A moving average of the time between two events of a server's streams.
 *
 * <p>It is forgotten after a while without events, so that a server that was slow is tried again.
 * Not thread safe; times are monotonic nanoseconds that callers pass in.
 */
final class Pace {
  private static final Duration MEMORY = Duration.ofMillis(2_500);
  private static final double NEWEST_SHARE = 0.15;

  /** Samples from which on the average says something. */
  private static final int MIN_SAMPLES = 6;

  private double averageNanos;
  private int samples;
  private long sampledNanos;

  void add(long intervalNanos, long nowNanos) {
    if (isForgotten(nowNanos)) {
      samples = 0;
    }
    averageNanos =
        samples == 0 ? intervalNanos : averageNanos + (intervalNanos - averageNanos) * NEWEST_SHARE;
    samples++;
    sampledNanos = nowNanos;
  }

  private boolean isForgotten(long nowNanos) {
    return nowNanos - sampledNanos > MEMORY.toNanos();
  }

  /** Returns the average in nanoseconds, empty while too little is known. */
  OptionalDouble nanosPerEvent(long nowNanos) {
    boolean isKnown = samples >= MIN_SAMPLES && !isForgotten(nowNanos);
    return isKnown ? OptionalDouble.of(averageNanos) : OptionalDouble.empty();
  }
}
