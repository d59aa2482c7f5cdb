package org.amaranthstream.metrics;

/** Prometheus metric types. */
public enum MetricType {
  COUNTER,
  GAUGE,
  HISTOGRAM
}
