package org.amaranthstream.metrics;

/** Types of metrics. */
public enum MetricType {
  COUNTER,
  GAUGE,
  HISTOGRAM
}
