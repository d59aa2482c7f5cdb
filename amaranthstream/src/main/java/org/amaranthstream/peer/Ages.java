package org.amaranthstream.peer;

import java.time.Duration;

/** Ages and remaining times on the wire: whole milliseconds, clamped to what fits. */
final class Ages {
  private Ages() {}

  static int toMillis(Duration duration) {
    return clampMillis(duration.toMillis());
  }

  static int nanosToMillis(long nanos) {
    return clampMillis(Duration.ofNanos(nanos).toMillis());
  }

  private static int clampMillis(long millis) {
    return (int) Math.max(0, Math.min(Integer.MAX_VALUE, millis));
  }

  static Duration ofMillis(int millis) {
    return Duration.ofMillis(Math.max(0, millis));
  }

  static long toNanos(int millis) {
    return ofMillis(millis).toNanos();
  }
}
