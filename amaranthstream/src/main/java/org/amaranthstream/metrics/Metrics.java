package org.amaranthstream.metrics;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.stream.Stream;

/**
 * The metrics of one process, in Prometheus's text format.
 *
 * <p>Counts that other parts keep are read when the metrics are; events are counted here. Each
 * label has at most {@link #MAX_LABEL_VALUES} values, later ones are counted as {@code other}.
 * Thread safe; the {@code read} methods are for the start of the process.
 *
 * <pre>{@code
 * Metrics metrics = Metrics.create();
 * metrics.read(Metric.CONFIG_GENERATION, () -> keeper.current().generation().value());
 * metrics.count(Metric.CALLS, "lookup", "OK");
 * }</pre>
 */
public final class Metrics {
  /** Greatest number of values of one label. */
  public static final int MAX_LABEL_VALUES = 100;

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final ImmutableMap<Metric, ImmutableMap<String, LabelBound>> bounds;
  private final Map<Metric, Counter> counters = new EnumMap<>(Metric.class);
  private final Map<Metric, Histogram> histograms = new EnumMap<>(Metric.class);

  private Metrics() {
    ImmutableMap.Builder<Metric, ImmutableMap<String, LabelBound>> builder = ImmutableMap.builder();
    for (Metric metric : Metric.values()) {
      builder.put(metric, Maps.toMap(metric.labels(), label -> new LabelBound(MAX_LABEL_VALUES)));
    }
    this.bounds = builder.buildOrThrow();
  }

  /** Returns metrics that count nothing yet. */
  public static Metrics create() {
    return new Metrics();
  }

  /** Shows the value of {@code source} as {@code metric}, which has no labels. */
  public void read(Metric metric, DoubleSupplier source) {
    checkArgument(metric.labels().isEmpty(), "%s has labels", metric);
    readAll(metric, ImmutableMap.of("", source));
  }

  /** Shows the values of {@code sources}, by the value of the metric's only label. */
  public void read(Metric metric, Map<String, DoubleSupplier> sources) {
    checkArgument(metric.labels().size() == 1, "%s has not one label", metric);
    checkArgument(sources.size() <= MAX_LABEL_VALUES, "%s label values", sources.size());
    readAll(metric, ImmutableMap.copyOf(sources));
  }

  private void readAll(Metric metric, ImmutableMap<String, DoubleSupplier> sources) {
    if (metric.type() == MetricType.GAUGE) {
      GaugeWithCallback.builder()
          .name(metric.fullName())
          .help(metric.help())
          .labelNames(labelNames(metric))
          .callback(
              callback ->
                  sources.forEach((v, s) -> callback.call(s.getAsDouble(), labels(metric, v))))
          .register(registry);
    } else {
      checkArgument(metric.type() == MetricType.COUNTER, "%s cannot be read", metric);
      CounterWithCallback.builder()
          .name(metric.fullName())
          .help(metric.help())
          .labelNames(labelNames(metric))
          .callback(
              callback ->
                  sources.forEach((v, s) -> callback.call(s.getAsDouble(), labels(metric, v))))
          .register(registry);
    }
  }

  private static String[] labels(Metric metric, String value) {
    return metric.labels().isEmpty() ? new String[0] : new String[] {value};
  }

  /** Counts one event. */
  public void count(Metric metric, String... labelValues) {
    counter(metric).labelValues(bounded(metric, labelValues)).inc();
  }

  /** Takes one duration, in seconds. */
  public void observe(Metric metric, double seconds, String... labelValues) {
    histogram(metric).labelValues(bounded(metric, labelValues)).observe(seconds);
  }

  private synchronized Counter counter(Metric metric) {
    checkArgument(metric.type() == MetricType.COUNTER, "%s is no counter", metric);
    return counters.computeIfAbsent(
        metric,
        key ->
            Counter.builder()
                .name(key.fullName())
                .help(key.help())
                .labelNames(labelNames(key))
                .register(registry));
  }

  private synchronized Histogram histogram(Metric metric) {
    checkArgument(metric.type() == MetricType.HISTOGRAM, "%s is no histogram", metric);
    return histograms.computeIfAbsent(
        metric,
        key ->
            Histogram.builder()
                .name(key.fullName())
                .help(key.help())
                .labelNames(labelNames(key))
                .classicOnly()
                .register(registry));
  }

  private static String[] labelNames(Metric metric) {
    return metric.labels().toArray(String[]::new);
  }

  private String[] bounded(Metric metric, String... values) {
    checkArgument(
        values.length == metric.labels().size(), "%s has labels %s", metric, metric.labels());
    return Stream.iterate(0, i -> i < values.length, i -> i + 1)
        .map(i -> bounds.get(metric).get(metric.labels().get(i)).bounded(values[i]))
        .toArray(String[]::new);
  }

  /** Returns all metrics in Prometheus's text format. */
  public String text() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new IllegalStateException("a buffer in memory cannot be written", e);
    }
    return out.toString(StandardCharsets.UTF_8);
  }
}
