package org.amaranthstream.calls;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.ids.RouteId;

/**
 * Longest recent response time of each route. Must be used on one thread.
 *
 * <p>Covers the current period and the one before it, so that a maximum is forgotten after one to
 * two periods.
 */
final class ResponseTimes {
  private static final Duration PERIOD = Duration.ofSeconds(30);

  private Map<RouteId, Duration> current = new HashMap<>();
  private Map<RouteId, Duration> previous = new HashMap<>();
  private long periodStartNanos;

  ResponseTimes(long nowNanos) {
    this.periodStartNanos = nowNanos;
  }

  /** Records the time that a request of {@code route} has taken. */
  void record(RouteId route, Duration time, long nowNanos) {
    startPeriodIfDue(nowNanos);
    current.merge(route, time, ResponseTimes::max);
  }

  /** Returns the longest recent time, empty if no request of {@code route} was completed. */
  Optional<Duration> longest(RouteId route, long nowNanos) {
    startPeriodIfDue(nowNanos);
    Duration time =
        max(
            current.getOrDefault(route, Duration.ZERO),
            previous.getOrDefault(route, Duration.ZERO));
    return time.isZero() ? Optional.empty() : Optional.of(time);
  }

  private void startPeriodIfDue(long nowNanos) {
    long elapsed = nowNanos - periodStartNanos;
    if (elapsed < PERIOD.toNanos()) {
      return;
    }
    previous = elapsed < 2 * PERIOD.toNanos() ? current : new HashMap<>();
    current = new HashMap<>();
    periodStartNanos = nowNanos;
  }

  private static Duration max(Duration a, Duration b) {
    return a.compareTo(b) > 0 ? a : b;
  }
}
