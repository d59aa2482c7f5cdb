package org.amaranthstream.servers;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.util.Optional;

/**
 * Pacing of the requests to one rate-limited server, by the generic cell rate algorithm.
 *
 * <p>Made for a load of more requests than the server takes. Each granted request reserves the next
 * free time; a request that would have to wait longer than its patience is denied at once and
 * reserves nothing. Unused time is not saved up, so that a burst does not follow a pause. Not
 * thread safe. Callers pass times as monotonic nanoseconds.
 */
public final class RequestPacer {
  private long nextFreeNanos;

  private RequestPacer(long nowNanos) {
    this.nextFreeNanos = nowNanos;
  }

  /** Returns a pacer that grants the first request at once. */
  public static RequestPacer startingAt(long nowNanos) {
    return new RequestPacer(nowNanos);
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
    long waitNanos = Math.max(0, nextFreeNanos - nowNanos);
    if (waitNanos > patience.toNanos()) {
      return Optional.empty();
    }
    nextFreeNanos = nowNanos + waitNanos + interval.toNanos();
    return Optional.of(Duration.ofNanos(waitNanos));
  }
}
