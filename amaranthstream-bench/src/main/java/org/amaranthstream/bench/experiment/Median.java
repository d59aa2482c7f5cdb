package org.amaranthstream.bench.experiment;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * Median and spread of a measure over the seeds.
 *
 * @param median the median, the lower one of an even count
 * @param least the least value
 * @param greatest the greatest value
 */
record Median(double median, double least, double greatest) {

  static Median of(List<RunResult> runs, ToDoubleFunction<RunResult> measure) {
    double[] sorted = runs.stream().mapToDouble(measure).sorted().toArray();
    return new Median(sorted[(sorted.length - 1) / 2], sorted[0], sorted[sorted.length - 1]);
  }

  /** Returns {@code median (least to greatest)}, or the median alone if there is no spread. */
  String text() {
    String middle = number(median);
    String low = number(least);
    String high = number(greatest);
    return low.equals(high) ? middle : middle + " (" + low + " to " + high + ")";
  }

  private static String number(double value) {
    return value == Math.rint(value) || Math.abs(value) >= 100
        ? String.format(Locale.ROOT, "%.0f", value)
        : String.format(Locale.ROOT, "%.3f", value);
  }
}
