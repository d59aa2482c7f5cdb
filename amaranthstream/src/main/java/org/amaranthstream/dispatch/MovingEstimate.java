package org.amaranthstream.dispatch;

/** Exponentially weighted mean and deviation. Not thread safe. */
final class MovingEstimate {
  private static final double WEIGHT = 0.1;

  private double mean;
  private double deviation;
  private boolean empty = true;

  void add(long value) {
    if (empty) {
      mean = value;
      deviation = value / 2.0;
      empty = false;
      return;
    }
    double difference = value - mean;
    mean += WEIGHT * difference;
    deviation += WEIGHT * (Math.abs(difference) - deviation);
  }

  long mean() {
    return (long) mean;
  }

  /** Returns the mean less twice the deviation, or 0. */
  long low() {
    return (long) Math.max(0, mean - 2 * deviation);
  }
}
