package org.amaranthstream.dispatch;

/** Exponentially weighted mean. Not thread safe. */
final class MovingAverage {
  private static final double SMOOTHING_FACTOR = 0.05;

  private double mean;
  private boolean empty = true;

  void add(long value) {
    mean = empty ? value : mean + SMOOTHING_FACTOR * (value - mean);
    empty = false;
  }

  long mean() {
    return (long) mean;
  }
}
