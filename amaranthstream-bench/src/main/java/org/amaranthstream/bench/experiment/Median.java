package org.amaranthstream.bench.experiment;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * Median and range of a metric over the seeds.
 *
 * @param median the median; the lower middle value of an even count
 * @param min the smallest value
 * @param max the largest value
 */
record Median(double median, double min, double max) {

  /** Computes the median and range of a metric over at least one run. */
  static Median of(List<RunResult> runs, ToDoubleFunction<RunResult> metric) {
    double[] sorted = runs.stream().mapToDouble(metric).sorted().toArray();
    return new Median(sorted[(sorted.length - 1) / 2], sorted[0], sorted[sorted.length - 1]);
  }

  /** Returns {@code median (min to max)}, or the median alone if all values print alike. */
  String summary() {
    String center = formatNumber(median);
    String low = formatNumber(min);
    String high = formatNumber(max);
    return low.equals(high) ? center : center + " (" + low + " to " + high + ")";
  }

  private static String formatNumber(double value) {
    return value == Math.rint(value) || Math.abs(value) >= 100
        ? String.format(Locale.ROOT, "%.0f", value)
        : String.format(Locale.ROOT, "%.3f", value);
  }
}
