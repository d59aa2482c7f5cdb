package org.amaranthstream.rollout;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * An estimate of the mean and the standard deviation of a varying duration. Immutable.
 *
 * @param count number of observations
 * @param meanSeconds mean
 * @param deviationSeconds standard deviation
 */
public record DurationEstimate(long count, double meanSeconds, double deviationSeconds) {
  private static final double SMOOTHING_FACTOR = 0.125;
  private static final DurationEstimate NONE = new DurationEstimate(0, 0, 0);

  /** Creates an estimate. */
  public DurationEstimate {
    checkArgument(count >= 0, "count is negative: %s", count);
    checkArgument(meanSeconds >= 0, "mean is negative: %s", meanSeconds);
    checkArgument(deviationSeconds >= 0, "deviation is negative: %s", deviationSeconds);
  }

  /** Returns the estimate without observations. */
  public static DurationEstimate none() {
    return NONE;
  }

  /** Returns the estimate after one more observation, as an exponential moving average. */
  public DurationEstimate with(double seconds) {
    if (count == 0) {
      return new DurationEstimate(1, seconds, 0);
    }
    double weight = Math.max(SMOOTHING_FACTOR, 1.0 / (count + 1));
    double difference = seconds - meanSeconds;
    double mean = meanSeconds + weight * difference;
    double variance =
        (1 - weight) * (deviationSeconds * deviationSeconds + weight * difference * difference);
    return new DurationEstimate(count + 1, mean, Math.sqrt(variance));
  }
}
