package org.amaranthstream.dispatch;

import java.time.Duration;

/** Conversions of times in nanoseconds. */
final class Nanos {
  private static final double NANOS_PER_MILLI = 1e6;

  private Nanos() {}

  /** Formats {@code nanos} in whole milliseconds, such as {@code 250 ms}. */
  static String formatMillis(long nanos) {
    return String.format("%.0f ms", nanos / NANOS_PER_MILLI);
  }

  /** Returns {@code nanos} as a duration, or {@code minimum} if that is longer. */
  static Duration toDurationAtLeast(long nanos, Duration minimum) {
    Duration duration = Duration.ofNanos(nanos);
    return duration.compareTo(minimum) < 0 ? minimum : duration;
  }
}
