package org.amaranthstream.ingress;

import org.amaranthstream.routing.RequestLimits;

/**
 * What a caller's connection waits for, and since when.
 *
 * <p>Not thread safe; times are monotonic nanoseconds that callers pass in.
 */
final class ConnectionClock {
  private Phase phase = Phase.IDLE;
  private long phaseSinceNanos;
  private long lastBytesNanos;

  private enum Phase {
    /** No request is under way. */
    IDLE,
    /** The caller sends the head of a request. */
    HEAD,
    /** The caller sends the body of a request. */
    BODY,
    /** The caller waits for the answer. */
    ANSWER
  }

  ConnectionClock(long nowNanos) {
    this.phaseSinceNanos = nowNanos;
    this.lastBytesNanos = nowNanos;
  }

  /** Bytes have arrived. */
  void onBytes(long nowNanos) {
    lastBytesNanos = nowNanos;
    if (phase == Phase.IDLE) {
      enter(Phase.HEAD, nowNanos);
    }
  }

  /** The head of a request is whole. */
  void onHead(long nowNanos) {
    enter(Phase.BODY, nowNanos);
  }

  /** The body of the request is whole or is not read further. */
  void onBody(long nowNanos) {
    enter(Phase.ANSWER, nowNanos);
  }

  /** The request was answered. */
  void onAnswered(long nowNanos) {
    enter(Phase.IDLE, nowNanos);
  }

  private void enter(Phase next, long nowNanos) {
    phase = next;
    phaseSinceNanos = nowNanos;
  }

  /** Returns true if the caller takes longer than {@code limits} allow. */
  boolean isOverdue(long nowNanos, RequestLimits limits) {
    long inPhase = nowNanos - phaseSinceNanos;
    long silent = nowNanos - lastBytesNanos;
    return switch (phase) {
      case IDLE -> inPhase > limits.idleTimeout().toNanos();
      case HEAD -> inPhase > limits.headerTimeout().toNanos();
      case BODY -> Math.min(inPhase, silent) > limits.idleTimeout().toNanos();
      case ANSWER -> false;
    };
  }

  @Override
  public String toString() {
    return phase.toString();
  }
}
