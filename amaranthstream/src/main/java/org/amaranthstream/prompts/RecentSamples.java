package org.amaranthstream.prompts;

import static com.google.common.base.Preconditions.checkState;

import java.util.Arrays;

/** The most recent of a series of values, and their median. Not thread safe. */
final class RecentSamples {
  private static final int CAPACITY = 32;

  private final double[] values = new double[CAPACITY];
  private int added;

  void add(double value) {
    values[added % CAPACITY] = value;
    // Stays within two rounds, so that the count never overflows.
    added = added + 1 < 2 * CAPACITY ? added + 1 : CAPACITY;
  }

  int size() {
    return Math.min(added, CAPACITY);
  }

  /** Returns the lower median. */
  double median() {
    checkState(added > 0, "no samples");
    double[] sorted = Arrays.copyOf(values, size());
    Arrays.sort(sorted);
    return sorted[(sorted.length - 1) / 2];
  }
}
