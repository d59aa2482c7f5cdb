package org.amaranthstream.bench.baseline;

import org.amaranthstream.placement.ConcurrencyLimit;

/**
 * Concurrency limit for comparison that follows the latency gradient. It is multiplied by the ratio
 * of the long-term mean latency to the short-term one, and the square root of the limit is added so
 * that a short queue can form.
 *
 * <p>Not thread safe.
 */
public final class GradientLimit implements ConcurrencyLimit {
  private static final double SHORT_TERM_WEIGHT = 0.1;
  private static final double LONG_TERM_WEIGHT = 0.002;
  private static final double TOLERANCE = 1.5;
  private static final double SMOOTHING = 0.2;
  private static final double OVERLOAD_FACTOR = 0.9;
  private static final int MAX_LIMIT = 1024;

  private double limit;
  private double shortTermMeanNanos;
  private double longTermMeanNanos;

  /** Creates a limit that starts at {@code slots}, or at 4 if {@code slots} is 0 (unknown). */
  public GradientLimit(int slots) {
    this.limit = slots == 0 ? 4 : slots;
  }

  @Override
  public int limit() {
    return (int) limit;
  }

  @Override
  public void onResponse(long latencyNanos, int inFlight) {
    if (longTermMeanNanos == 0) {
      shortTermMeanNanos = latencyNanos;
      longTermMeanNanos = latencyNanos;
    }
    shortTermMeanNanos += SHORT_TERM_WEIGHT * (latencyNanos - shortTermMeanNanos);
    longTermMeanNanos += LONG_TERM_WEIGHT * (latencyNanos - longTermMeanNanos);
    if (inFlight * 2 < limit) {
      return;
    }
    double gradient =
        Math.max(0.5, Math.min(1, TOLERANCE * longTermMeanNanos / shortTermMeanNanos));
    double target = limit * gradient + Math.sqrt(limit);
    limit = limit * (1 - SMOOTHING) + target * SMOOTHING;
    limit = Math.max(1, Math.min(MAX_LIMIT, limit));
  }

  @Override
  public void onOverload() {
    limit = Math.max(1, limit * OVERLOAD_FACTOR);
  }
}
