package org.amaranthstream.bench.baseline;

import org.amaranthstream.placement.ConcurrencyLimit;

/**
 * Scales the limit by the ratio of the long mean of the latency to the short one, and adds room for
 * a queue of the square root of the limit.
 *
 * <p>Not thread safe.
 */
public final class GradientLimit implements ConcurrencyLimit {
  private static final double SHORT_WEIGHT = 0.1;
  private static final double LONG_WEIGHT = 0.002;
  private static final double TOLERANCE = 1.5;
  private static final double SMOOTHING = 0.2;
  private static final double OVERLOAD_FACTOR = 0.9;
  private static final int MAX_LIMIT = 1024;

  private double limit;
  private double shortMean;
  private double longMean;

  /** Creates a limit that starts at {@code slots}, or at 4 if none are known. */
  public GradientLimit(int slots) {
    this.limit = slots == 0 ? 4 : slots;
  }

  @Override
  public int limit() {
    return (int) limit;
  }

  @Override
  public void onResponse(long latencyNanos, int inFlight) {
    if (longMean == 0) {
      shortMean = latencyNanos;
      longMean = latencyNanos;
    }
    shortMean += SHORT_WEIGHT * (latencyNanos - shortMean);
    longMean += LONG_WEIGHT * (latencyNanos - longMean);
    if (inFlight * 2 < limit) {
      return;
    }
    double gradient = Math.max(0.5, Math.min(1, TOLERANCE * longMean / shortMean));
    double wanted = limit * gradient + Math.sqrt(limit);
    limit = limit * (1 - SMOOTHING) + wanted * SMOOTHING;
    limit = Math.max(1, Math.min(MAX_LIMIT, limit));
  }

  @Override
  public void onOverload() {
    limit = Math.max(1, limit * OVERLOAD_FACTOR);
  }
}
