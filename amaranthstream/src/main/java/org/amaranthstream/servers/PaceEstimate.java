package org.amaranthstream.servers;

import java.time.Duration;
import java.util.Arrays;
import java.util.OptionalDouble;

/**
 * Median of the recent intervals between two events of a server's streams.
 *
 * <p>Made for servers that differ permanently, and each of which runs several times slower for
 * spans that are short beside the window: these leave a median unchanged, and a server that turns
 * slow for longer is detected once that has lasted for half of the window. Samples expire, so that
 * a server that was slow is tried again. Not thread safe. Callers pass times as monotonic
 * nanoseconds.
 */
final class PaceEstimate {
  private static final Duration WINDOW = Duration.ofMillis(2_500);

  private static final int MAX_SAMPLES = 64;

  /** Spreads the samples over the window, however many streams run at the server. */
  private static final Duration MIN_SPACING = WINDOW.dividedBy(MAX_SAMPLES);

  /** The number of samples below which the median is too uncertain to be used. */
  private static final int MIN_SAMPLES = 6;

  /** The time for which a computed median is used again. */
  private static final Duration REFRESH_INTERVAL = Duration.ofMillis(50);

  private final long[] intervals = new long[MAX_SAMPLES];
  private final long[] times = new long[MAX_SAMPLES];
  private int next;
  private int size;
  private OptionalDouble median = OptionalDouble.empty();
  private long computedNanos;
  private boolean isComputed;

  void add(long intervalNanos, long nowNanos) {
    int last = (next + MAX_SAMPLES - 1) % MAX_SAMPLES;
    if (size > 0 && nowNanos - times[last] < MIN_SPACING.toNanos()) {
      return;
    }
    intervals[next] = intervalNanos;
    times[next] = nowNanos;
    next = (next + 1) % MAX_SAMPLES;
    size = Math.min(size + 1, MAX_SAMPLES);
  }

  /** Returns the median, empty if there are too few recent samples. */
  OptionalDouble medianNanos(long nowNanos) {
    if (!isComputed || nowNanos - computedNanos >= REFRESH_INTERVAL.toNanos()) {
      isComputed = true;
      computedNanos = nowNanos;
      median = compute(nowNanos);
    }
    return median;
  }

  private OptionalDouble compute(long nowNanos) {
    long[] recent = new long[size];
    int count = 0;
    for (int i = 0; i < size; i++) {
      if (nowNanos - times[i] <= WINDOW.toNanos()) {
        recent[count] = intervals[i];
        count++;
      }
    }
    if (count < MIN_SAMPLES) {
      return OptionalDouble.empty();
    }
    Arrays.sort(recent, 0, count);
    return OptionalDouble.of(recent[count / 2]);
  }
}
