package org.amaranthstream.ingress;

import org.amaranthstream.routing.RequestLimits;

/**
 * A tracker of the phase that a caller's connection is in and of the time since that phase began.
 *
 * <p>Every method receives the monotonic time in nanoseconds. Not thread safe.
 */
final class ConnectionPhaseTracker {
  private Phase phase = Phase.IDLE;
  private long phaseStartNanos;
  private long lastReadNanos;

  private enum Phase {
    /** No request is in progress. */
    IDLE,
    /** The head of a request is being received. */
    HEAD,
    /** The body of a request is being received. */
    BODY,
    /** The caller waits for the response. */
    ANSWER
  }

  ConnectionPhaseTracker(long nowNanos) {
    this.phaseStartNanos = nowNanos;
    this.lastReadNanos = nowNanos;
  }

  /** Records that bytes were received. */
  void onBytes(long nowNanos) {
    lastReadNanos = nowNanos;
    if (phase == Phase.IDLE) {
      enter(Phase.HEAD, nowNanos);
    }
  }

  /** Records that the head of a request is complete. */
  void onHeadEnd(long nowNanos) {
    enter(Phase.BODY, nowNanos);
  }

  /** Records that the body of the request is complete or will not be read any further. */
  void onBodyEnd(long nowNanos) {
    enter(Phase.ANSWER, nowNanos);
  }

  /** Records that the response is complete. */
  void onResponseEnd(long nowNanos) {
    enter(Phase.IDLE, nowNanos);
  }

  private void enter(Phase next, long nowNanos) {
    phase = next;
    phaseStartNanos = nowNanos;
  }

  /** Returns true if the current phase has exceeded its timeout in {@code limits}. */
  boolean isTimedOut(long nowNanos, RequestLimits limits) {
    long phaseNanos = nowNanos - phaseStartNanos;
    long silentNanos = nowNanos - lastReadNanos;
    return switch (phase) {
      case IDLE -> phaseNanos > limits.idleTimeout().toNanos();
      case HEAD -> phaseNanos > limits.headerTimeout().toNanos();
      case BODY -> Math.min(phaseNanos, silentNanos) > limits.idleTimeout().toNanos();
      case ANSWER -> false;
    };
  }

  @Override
  public String toString() {
    return phase.toString();
  }
}
