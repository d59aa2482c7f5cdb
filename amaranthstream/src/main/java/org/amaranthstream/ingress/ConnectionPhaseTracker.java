package org.amaranthstream.ingress;

import java.time.Duration;
import org.amaranthstream.routing.RequestLimits;

/**
 * A tracker of the phase that a caller's connection is in and of the time since that phase began.
 *
 * <p>Every method receives the monotonic time in nanoseconds. Not thread safe.
 */
final class ConnectionPhaseTracker {
  /** Stands for a connection that has taken all bytes. */
  static final long NOTHING_PENDING = 0;

  private static final Duration UNLIMITED = Duration.ofNanos(Long.MAX_VALUE);

  private Phase phase = Phase.IDLE;
  private long phaseStartNanos;
  private long lastReadNanos;
  private long lastWriteNanos;
  private long pendingWrites;
  private boolean isWritten;
  private Duration bodyTimeout = UNLIMITED;
  private Runnable onBodyTimeout = () -> {};

  private enum Phase {
    /** No request is in progress. */
    IDLE,
    /** The head of a request is being received. */
    HEAD,
    /** The body of a request is being received. */
    BODY,
    /** The caller waits for the response. */
    ANSWER,
    /** The response is complete, and the connection has not taken it yet. */
    WRITING
  }

  ConnectionPhaseTracker(long nowNanos) {
    this.phaseStartNanos = nowNanos;
    this.lastReadNanos = nowNanos;
    this.lastWriteNanos = nowNanos;
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
    bodyTimeout = UNLIMITED;
    isWritten = false;
    enter(Phase.BODY, nowNanos);
  }

  /**
   * Sets the time for which the body of the current request may be received.
   *
   * @param task runs once if it takes longer
   */
  void setBodyTimeout(Duration timeout, Runnable task) {
    bodyTimeout = timeout;
    onBodyTimeout = task;
  }

  /** Runs the task of the body timeout if the body of the request takes too long. */
  void checkBodyTimeout(long nowNanos) {
    if (phase == Phase.BODY && nowNanos - phaseStartNanos >= bodyTimeout.toNanos()) {
      bodyTimeout = UNLIMITED;
      onBodyTimeout.run();
    }
  }

  /** Records that the body of the request is complete or will not be read any further. */
  void onBodyEnd(long nowNanos) {
    onBodyTimeout = () -> {};
    enter(Phase.ANSWER, nowNanos);
  }

  /** Records that the response is complete. */
  void onResponseEnd(long nowNanos) {
    onBodyTimeout = () -> {};
    enter(isWritten ? Phase.IDLE : Phase.WRITING, nowNanos);
  }

  /** Records that the connection has taken the whole response, before or after its end. */
  void onResponseWritten(long nowNanos) {
    isWritten = true;
    if (phase == Phase.WRITING) {
      enter(Phase.IDLE, nowNanos);
    }
  }

  /**
   * Records what the connection has not taken yet.
   *
   * @param pending a number that changes with each byte that is taken, or {@link #NOTHING_PENDING}
   */
  void onPendingWrites(long pending, long nowNanos) {
    if (pending == NOTHING_PENDING || pending != pendingWrites) {
      lastWriteNanos = nowNanos;
    }
    pendingWrites = pending;
  }

  private void enter(Phase next, long nowNanos) {
    phase = next;
    phaseStartNanos = nowNanos;
  }

  /** Returns true if no request has been received, so that nothing is lost with the connection. */
  boolean isWithoutRequest() {
    return phase == Phase.IDLE || phase == Phase.HEAD;
  }

  /** Returns true if the current phase has exceeded its timeout in {@code limits}. */
  boolean isTimedOut(long nowNanos, RequestLimits limits) {
    long phaseNanos = nowNanos - phaseStartNanos;
    long idleNanos = limits.idleTimeout().toNanos();
    return switch (phase) {
      case IDLE -> phaseNanos > idleNanos;
      case HEAD -> phaseNanos > limits.headerTimeout().toNanos();
      case BODY -> Math.min(phaseNanos, nowNanos - lastReadNanos) > idleNanos;
      case ANSWER -> isStalled(nowNanos, idleNanos);
      case WRITING -> isWritingTimedOut(nowNanos, phaseNanos, idleNanos);
    };
  }

  private boolean isStalled(long nowNanos, long idleNanos) {
    return pendingWrites != NOTHING_PENDING && nowNanos - lastWriteNanos > idleNanos;
  }

  /** A connection that has taken all bytes is as good as idle. */
  private boolean isWritingTimedOut(long nowNanos, long phaseNanos, long idleNanos) {
    return pendingWrites == NOTHING_PENDING
        ? phaseNanos > idleNanos
        : isStalled(nowNanos, idleNanos);
  }

  @Override
  public String toString() {
    return phase.toString();
  }
}
