package org.amaranthstream.servers;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Measurement of the time for which no server of a service has responded although requests wait.
 *
 * <p>Not thread safe. Callers pass times as monotonic nanoseconds.
 */
final class SilenceClock {
  private int inFlight;
  private boolean hasResponded;
  private long lastResponseNanos;

  /** The time of the first request since the last response, empty if there is none. */
  private OptionalLong firstUnansweredNanos = OptionalLong.empty();

  void onRequestSent(long nowNanos) {
    inFlight++;
    if (firstUnansweredNanos.isEmpty()) {
      firstUnansweredNanos = OptionalLong.of(nowNanos);
    }
  }

  void onRequestEnded() {
    inFlight--;
  }

  /** Records a response of any server, or a part of one. */
  void onResponse(long nowNanos) {
    hasResponded = true;
    lastResponseNanos = nowNanos;
    firstUnansweredNanos = OptionalLong.empty();
  }

  /** Returns true if a server has responded within {@code period}. */
  boolean hasRespondedWithin(Duration period, long nowNanos) {
    return hasResponded && nowNanos - lastResponseNanos < period.toNanos();
  }

  /** Returns the time without a response, zero if no request waits or has failed since the last. */
  Duration silence(long nowNanos) {
    if (firstUnansweredNanos.isPresent()) {
      return Duration.ofNanos(nowNanos - firstUnansweredNanos.getAsLong());
    }
    return inFlight > 0 ? Duration.ofNanos(nowNanos - lastResponseNanos) : Duration.ZERO;
  }
}
