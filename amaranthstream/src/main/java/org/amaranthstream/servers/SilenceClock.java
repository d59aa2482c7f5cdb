package org.amaranthstream.servers;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Measurement of the time for which the servers of a service have seemed out of reach: no server
 * has responded although requests wait, or requests have failed and no new connection was opened.
 *
 * <p>Not thread safe. Callers pass times as monotonic nanoseconds.
 */
final class SilenceClock {
  private int inFlight;
  private boolean hasResponded;
  private long lastResponseNanos;

  /** The time of the first request since the last response, empty if there is none. */
  private OptionalLong firstUnansweredNanos = OptionalLong.empty();

  /** The time of the first failure since the last new connection, empty if there is none. */
  private OptionalLong firstFailureNanos = OptionalLong.empty();

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

  void onFailed(long nowNanos) {
    if (firstFailureNanos.isEmpty()) {
      firstFailureNanos = OptionalLong.of(nowNanos);
    }
  }

  /** Records that a new connection to a server was opened. */
  void onConnected(long nowNanos) {
    firstFailureNanos = OptionalLong.empty();
    onResponse(nowNanos);
  }

  /** Returns true if a server has responded within {@code period}, and no request has failed. */
  boolean hasRespondedWithin(Duration period, long nowNanos) {
    return hasResponded
        && firstFailureNanos.isEmpty()
        && nowNanos - lastResponseNanos < period.toNanos();
  }

  /** Returns the time for which the servers have seemed out of reach, zero if they do not. */
  Duration suspicion(long nowNanos) {
    Duration silence = silence(nowNanos);
    if (firstFailureNanos.isEmpty()) {
      return silence;
    }
    Duration failing = Duration.ofNanos(nowNanos - firstFailureNanos.getAsLong());
    return failing.compareTo(silence) > 0 ? failing : silence;
  }

  /** Returns the time without a response, zero if no request waits or has failed since the last. */
  private Duration silence(long nowNanos) {
    if (firstUnansweredNanos.isPresent()) {
      return Duration.ofNanos(nowNanos - firstUnansweredNanos.getAsLong());
    }
    return inFlight > 0 ? Duration.ofNanos(nowNanos - lastResponseNanos) : Duration.ZERO;
  }
}
