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
 * A registry of the metrics of one process, exported in Prometheus's text format.
 *
 * <p>Callbacks export values that other classes hold and run at each scrape; {@link #count} and
 * {@link #observe} record events. Each label has at most {@link #MAX_LABEL_VALUES} values; further
 * values are recorded as {@code other}. Thread safe; register callbacks at the start of the
 * process.
 *
 * <pre>{@code
 * Metrics metrics = Metrics.create();
 * metrics.registerCallback(
 *     Metric.CONFIG_GENERATION, () -> configManager.current().generation().value());
 * metrics.count(Metric.CALLS, "lookup", "OK");
 * }</pre>
 */
public final class Metrics {
  /** Maximum number of values of one label. */
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

  /** Returns a registry without recorded events or callbacks. */
  public static Metrics create() {
    return new Metrics();
  }

  /** Exports the value of {@code source} as {@code metric}, which has no labels. */
  public void registerCallback(Metric metric, DoubleSupplier source) {
    checkArgument(metric.labels().isEmpty(), "%s has labels, expected none", metric);
    registerCallbacks(metric, ImmutableMap.of("", source));
  }

  /** Exports {@code sources}, keyed by the value of the metric's only label. */
  public void registerCallback(Metric metric, Map<String, DoubleSupplier> sources) {
    checkArgument(metric.labels().size() == 1, "%s does not have exactly one label", metric);
    checkArgument(
        sources.size() <= MAX_LABEL_VALUES, "%s label values exceed the maximum", sources.size());
    registerCallbacks(metric, ImmutableMap.copyOf(sources));
  }

  private void registerCallbacks(Metric metric, ImmutableMap<String, DoubleSupplier> sources) {
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
      checkArgument(
          metric.type() == MetricType.COUNTER, "%s is neither a gauge nor a counter", metric);
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

  /** Increments a counter. */
  public void count(Metric metric, String... labelValues) {
    counter(metric).labelValues(bounded(metric, labelValues)).inc();
  }

  /** Records a duration in a histogram. */
  public void observe(Metric metric, double seconds, String... labelValues) {
    histogram(metric).labelValues(bounded(metric, labelValues)).observe(seconds);
  }

  private synchronized Counter counter(Metric metric) {
    checkArgument(metric.type() == MetricType.COUNTER, "%s is not a counter", metric);
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
    checkArgument(metric.type() == MetricType.HISTOGRAM, "%s is not a histogram", metric);
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
        values.length == metric.labels().size(),
        "%s expects a value for each of the labels %s",
        metric,
        metric.labels());
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
      throw new IllegalStateException("writing to an in-memory buffer failed", e);
    }
    return out.toString(StandardCharsets.UTF_8);
  }
}
