package org.amaranthstream.placement;

import java.time.Duration;

/**
 * Health tracker that ejects a server with a high failure rate, and restores it only after
 * consecutive successes.
 *
 * <p>Two moving averages of the failure rate are kept. The slow one detects low failure rates,
 * which the fast one cannot represent. A server that was ejected recently must exceed a higher
 * threshold to be ejected again, and its ejection time doubles. Not thread safe.
 */
public final class HysteresisHealth implements ServerHealth {
  private static final double FAST_SMOOTHING = 0.1;
  private static final double FAST_THRESHOLD = 0.5;
  private static final int FAST_MIN_OUTCOMES = 8;
  private static final double SLOW_SMOOTHING = 0.001;
  private static final double SLOW_THRESHOLD = 0.02;
  private static final int SLOW_MIN_OUTCOMES = 500;
  private static final double REPEAT_THRESHOLD_FACTOR = 1.3;
  private static final int SUCCESSES_TO_RESTORE = 3;
  private static final long FIRST_EJECTION_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long MAX_EJECTION_NANOS = Duration.ofSeconds(60).toNanos();
  private static final long REPEAT_WINDOW_NANOS = Duration.ofMinutes(10).toNanos();

  private State state = State.HEALTHY;
  private double fastRate;
  private double slowRate;
  private int outcomes;
  private int consecutiveSuccesses;
  private long ejectionNanos;
  private long ejectionEndNanos;

  private HysteresisHealth() {}

  /** Returns the tracker of a healthy server. */
  public static HysteresisHealth create() {
    return new HysteresisHealth();
  }

  @Override
  public State stateAt(long nowNanos) {
    if (state == State.EJECTED && nowNanos - ejectionEndNanos >= 0) {
      state = State.TRIAL;
      consecutiveSuccesses = 0;
    }
    return state;
  }

  @Override
  public void onOutcome(boolean success, long nowNanos) {
    State before = stateAt(nowNanos);
    if (before == State.EJECTED) {
      return;
    }
    if (before == State.TRIAL) {
      onTrial(success, nowNanos);
      return;
    }
    outcomes++;
    double failure = success ? 0 : 1;
    fastRate += FAST_SMOOTHING * (failure - fastRate);
    slowRate += slowSmoothing() * (failure - slowRate);
    if (!success && isAboveThreshold(nowNanos)) {
      eject(nowNanos);
    }
  }

  private void onTrial(boolean success, long nowNanos) {
    if (!success) {
      eject(nowNanos);
      return;
    }
    consecutiveSuccesses++;
    if (consecutiveSuccesses >= SUCCESSES_TO_RESTORE) {
      state = State.HEALTHY;
      fastRate = 0;
      slowRate = 0;
      outcomes = 0;
    }
  }

  /** Weights the first outcomes equally, so that an early failure does not produce a high rate. */
  private double slowSmoothing() {
    return Math.max(SLOW_SMOOTHING, 1.0 / outcomes);
  }

  private boolean isAboveThreshold(long nowNanos) {
    boolean repeated = ejectionNanos > 0 && nowNanos - ejectionEndNanos < REPEAT_WINDOW_NANOS;
    double thresholdFactor = repeated ? REPEAT_THRESHOLD_FACTOR : 1;
    boolean fast = outcomes >= FAST_MIN_OUTCOMES && fastRate > FAST_THRESHOLD * thresholdFactor;
    boolean slow = outcomes >= SLOW_MIN_OUTCOMES && slowRate > SLOW_THRESHOLD * thresholdFactor;
    return fast || slow;
  }

  private void eject(long nowNanos) {
    boolean repeated = ejectionNanos > 0 && nowNanos - ejectionEndNanos < REPEAT_WINDOW_NANOS;
    ejectionNanos =
        repeated ? Math.min(MAX_EJECTION_NANOS, ejectionNanos * 2) : FIRST_EJECTION_NANOS;
    ejectionEndNanos = nowNanos + ejectionNanos;
    state = State.EJECTED;
  }
}
