package org.amaranthstream.placement;

import java.time.Duration;

/**
 * Benches a server whose share of failures is high, and restores it only after successes in a row.
 *
 * <p>A second detector with a long memory finds faults at a low rate, which the first one cannot
 * represent. A server that was benched before has to be clearly worse to be benched again, and the
 * bench doubles each time. Not thread safe.
 */
public final class HysteresisHealth implements ServerHealth {
  private static final double FAST_WEIGHT = 0.1;
  private static final double FAST_THRESHOLD = 0.5;
  private static final int FAST_MIN_OUTCOMES = 8;
  private static final double SLOW_WEIGHT = 0.001;
  private static final double SLOW_THRESHOLD = 0.02;
  private static final int SLOW_MIN_OUTCOMES = 500;
  private static final double REPEAT_MARGIN = 1.3;
  private static final int RESTORE_SUCCESSES = 3;
  private static final long FIRST_BENCH_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long MAX_BENCH_NANOS = Duration.ofSeconds(60).toNanos();
  private static final long FORGET_NANOS = Duration.ofMinutes(10).toNanos();

  private Verdict state = Verdict.HEALTHY;
  private double fastRate;
  private double slowRate;
  private int outcomes;
  private int successesInRow;
  private long benchNanos;
  private long benchEndNanos;

  private HysteresisHealth() {}

  /** Returns the tracker of a healthy server. */
  public static HysteresisHealth create() {
    return new HysteresisHealth();
  }

  @Override
  public Verdict verdict(long nowNanos) {
    if (state == Verdict.BENCHED && nowNanos - benchEndNanos >= 0) {
      state = Verdict.TRIAL;
      successesInRow = 0;
    }
    return state;
  }

  @Override
  public void onOutcome(boolean success, long nowNanos) {
    Verdict before = verdict(nowNanos);
    if (before == Verdict.BENCHED) {
      return;
    }
    if (before == Verdict.TRIAL) {
      onTrial(success, nowNanos);
      return;
    }
    outcomes++;
    double failure = success ? 0 : 1;
    fastRate += FAST_WEIGHT * (failure - fastRate);
    slowRate += slowWeight() * (failure - slowRate);
    if (!success && isAboveThreshold(nowNanos)) {
      bench(nowNanos);
    }
  }

  private void onTrial(boolean success, long nowNanos) {
    if (!success) {
      bench(nowNanos);
      return;
    }
    successesInRow++;
    if (successesInRow >= RESTORE_SUCCESSES) {
      state = Verdict.HEALTHY;
      fastRate = 0;
      slowRate = 0;
      outcomes = 0;
    }
  }

  /** Weighs the first outcomes equally, so that the first failure does not count as a high rate. */
  private double slowWeight() {
    return Math.max(SLOW_WEIGHT, 1.0 / outcomes);
  }

  private boolean isAboveThreshold(long nowNanos) {
    boolean repeated = benchNanos > 0 && nowNanos - benchEndNanos < FORGET_NANOS;
    double margin = repeated ? REPEAT_MARGIN : 1;
    boolean fast = outcomes >= FAST_MIN_OUTCOMES && fastRate > FAST_THRESHOLD * margin;
    boolean slow = outcomes >= SLOW_MIN_OUTCOMES && slowRate > SLOW_THRESHOLD * margin;
    return fast || slow;
  }

  private void bench(long nowNanos) {
    boolean repeated = benchNanos > 0 && nowNanos - benchEndNanos < FORGET_NANOS;
    benchNanos = repeated ? Math.min(MAX_BENCH_NANOS, benchNanos * 2) : FIRST_BENCH_NANOS;
    benchEndNanos = nowNanos + benchNanos;
    state = Verdict.BENCHED;
  }
}
