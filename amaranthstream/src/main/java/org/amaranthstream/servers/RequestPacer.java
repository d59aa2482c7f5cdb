package org.amaranthstream.servers;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.util.Optional;

/**
 * Pacing of the requests to one rate-limited server, by the generic cell rate algorithm.
 *
 * <p>Made for a load of more requests than the server takes. Each granted request reserves the next
 * free time; a request that would have to wait longer than its patience is denied at once and
 * reserves nothing. A few unused requests are saved up, because the items of a step arrive
 * together. Not thread safe. Callers pass times as monotonic nanoseconds.
 */
public final class RequestPacer {
  private final int burst;
  private long nextFreeNanos;

  private RequestPacer(int burst, long nowNanos) {
    this.burst = burst;
    this.nextFreeNanos = nowNanos;
  }

  /**
   * Returns a pacer that has no requests saved up.
   *
   * @param burst the number of unused requests that are saved up
   */
  public static RequestPacer startingAt(long nowNanos, int burst) {
    checkArgument(burst >= 0, "burst is negative: %s", burst);
    return new RequestPacer(burst, nowNanos);
  }

  /**
   * Reserves the next request.
   *
   * @param interval the time between two requests
   * @param patience the longest time that the request waits
   * @return the time until the request may be sent, empty if it exceeds the patience
   */
  public Optional<Duration> reserve(Duration interval, Duration patience, long nowNanos) {
    checkArgument(!interval.isNegative(), "interval is negative: %s", interval);
    long savedNanos = Math.min(nowNanos - nextFreeNanos, burst * interval.toNanos());
    long waitNanos = Math.max(0, -savedNanos);
    if (waitNanos > patience.toNanos()) {
      return Optional.empty();
    }
    nextFreeNanos = nowNanos - savedNanos + interval.toNanos();
    return Optional.of(Duration.ofNanos(waitNanos));
  }
}
