package org.amaranthstream.bench.slopes;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;

/**
 * Least-squares line through measured points.
 *
 * @param intercept value at 0
 * @param slope change per unit
 * @param determination coefficient of determination: share of the variance that the line explains,
 *     from 0 to 1
 */
public record LinearFit(double intercept, double slope, double determination) {
  /**
   * One measured point.
   *
   * @param x the value of the independent variable
   * @param y the measured value
   */
  public record Point(double x, double y) {}

  /**
   * Returns the line through {@code points}.
   *
   * @throws IllegalArgumentException if there are fewer than two points, or all have the same x
   */
  public static LinearFit of(List<Point> points) {
    checkArgument(points.size() >= 2, "a line needs at least 2 points, found %s", points.size());
    double meanX = points.stream().mapToDouble(Point::x).average().orElseThrow();
    double meanY = points.stream().mapToDouble(Point::y).average().orElseThrow();
    double sxx = points.stream().mapToDouble(p -> square(p.x() - meanX)).sum();
    double syy = points.stream().mapToDouble(p -> square(p.y() - meanY)).sum();
    double sxy = points.stream().mapToDouble(p -> (p.x() - meanX) * (p.y() - meanY)).sum();
    checkArgument(sxx > 0, "all points have the same x: %s", meanX);
    double slope = sxy / sxx;
    double determination = syy == 0 ? 1 : square(sxy) / (sxx * syy);
    return new LinearFit(meanY - slope * meanX, slope, determination);
  }

  private static double square(double value) {
    return value * value;
  }
}
