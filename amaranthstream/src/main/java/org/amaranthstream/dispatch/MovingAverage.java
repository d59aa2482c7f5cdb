package org.amaranthstream.dispatch;

/** An exponentially weighted moving average. Not thread safe. */
final class MovingAverage {
  private static final double SMOOTHING_FACTOR = 0.05;

  private double mean;
  private boolean empty = true;

  /** Adds a value; the first one becomes the mean. */
  void add(long value) {
    mean = empty ? value : mean + SMOOTHING_FACTOR * (value - mean);
    empty = false;
  }

  /** Returns the mean, 0 if no value was added. */
  long mean() {
    return (long) mean;
  }
}
