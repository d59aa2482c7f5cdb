package org.amaranthstream.peer;

import java.time.Duration;

/**
 * Conversions of ages and remaining times to and from the whole milliseconds of a message. Values
 * are clamped to the range from zero to {@link Integer#MAX_VALUE}.
 */
final class WireDurations {
  private WireDurations() {}

  static int toMillis(Duration duration) {
    return clampMillis(duration.toMillis());
  }

  static int nanosToMillis(long nanos) {
    return clampMillis(Duration.ofNanos(nanos).toMillis());
  }

  private static int clampMillis(long millis) {
    return (int) Math.max(0, Math.min(Integer.MAX_VALUE, millis));
  }

  static Duration fromMillis(int millis) {
    return Duration.ofMillis(Math.max(0, millis));
  }

  static long millisToNanos(int millis) {
    return fromMillis(millis).toNanos();
  }
}
