package org.amaranthstream.dispatch;

/** Exponentially weighted mean. Not thread safe. */
final class MovingEstimate {
  private static final double WEIGHT = 0.05;

  private double mean;
  private boolean empty = true;

  void add(long value) {
    mean = empty ? value : mean + WEIGHT * (value - mean);
    empty = false;
  }

  long mean() {
    return (long) mean;
  }
}
