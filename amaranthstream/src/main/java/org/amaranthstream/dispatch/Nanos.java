package org.amaranthstream.dispatch;

import java.time.Duration;

/** Times for records and callers. */
final class Nanos {
  private static final double NANOS_PER_MILLI = 1e6;

  private Nanos() {}

  static String formatMillis(long nanos) {
    return String.format("%.0f ms", nanos / NANOS_PER_MILLI);
  }

  static Duration toDurationAtLeast(long nanos, Duration minimum) {
    Duration duration = Duration.ofNanos(nanos);
    return duration.compareTo(minimum) < 0 ? minimum : duration;
  }
}
