package org.amaranthstream.dispatch;

import java.time.Duration;

/** Times for records and callers. */
final class Millis {
  private static final double NANOS_PER_MILLI = 1e6;

  private Millis() {}

  static String format(long nanos) {
    return String.format("%.0f ms", nanos / NANOS_PER_MILLI);
  }

  static Duration atLeast(long nanos, Duration least) {
    Duration duration = Duration.ofNanos(nanos);
    return duration.compareTo(least) < 0 ? least : duration;
  }
}
