package org.amaranthstream.metrics;

import com.google.common.collect.ImmutableMap;
import java.util.function.DoubleSupplier;
import java.util.function.ToLongFunction;
import org.amaranthstream.config.ConfigManager;
import org.amaranthstream.config.ConfigStatus;
import org.amaranthstream.http.FramedHttpClients;
import org.amaranthstream.http.HttpClientKind;
import org.amaranthstream.platform.CallCounts;
import org.amaranthstream.platform.CallKind;

/** Metrics of the configuration and of the HTTP clients. */
public final class ControlMetrics {
  private ControlMetrics() {}

  /** Registers metrics that read the status of {@code configManager}. */
  public static void registerConfig(Metrics metrics, ConfigManager configManager) {
    registerCallback(
        metrics, Metric.CONFIG_GENERATION, configManager, status -> status.applied().value());
    registerCallback(
        metrics,
        Metric.CONFIG_PLATFORM_REACHABLE,
        configManager,
        s -> toLong(s.platformReachable()));
    registerCallback(
        metrics, Metric.CONFIG_PLATFORM_BEHIND, configManager, s -> toLong(s.platformBehind()));
    registerCallback(
        metrics, Metric.CONFIG_REFUSED_DOCUMENTS, configManager, ConfigStatus::refusedDocuments);
    registerCallback(metrics, Metric.CONFIG_CLASHES, configManager, ConfigStatus::clashes);
  }

  private static void registerCallback(
      Metrics metrics,
      Metric metric,
      ConfigManager configManager,
      ToLongFunction<ConfigStatus> value) {
    metrics.registerCallback(metric, () -> value.applyAsLong(configManager.status()));
  }

  private static long toLong(boolean value) {
    return value ? 1 : 0;
  }

  /** Registers metrics that read the counts of calls to the platform. */
  public static void registerPlatform(Metrics metrics, CallCounts counts) {
    registerByKind(metrics, Metric.PLATFORM_CALLS, counts::sent);
    registerByKind(metrics, Metric.PLATFORM_CALLS_FAILED, counts::failed);
    registerByKind(metrics, Metric.PLATFORM_CALLS_OVER_BUDGET, counts::overBudget);
  }

  /** Registers a metric that reads the faults in the framing of responses. */
  public static void registerFraming(Metrics metrics, FramedHttpClients clients) {
    ImmutableMap.Builder<String, DoubleSupplier> sources = ImmutableMap.builder();
    for (HttpClientKind kind : HttpClientKind.values()) {
      sources.put(kind.label(), () -> clients.faultCount(kind));
    }
    metrics.registerCallback(Metric.RESPONSE_BYTES_INVALID, sources.buildOrThrow());
  }

  private static void registerByKind(
      Metrics metrics, Metric metric, ToLongFunction<CallKind> count) {
    ImmutableMap.Builder<String, DoubleSupplier> sources = ImmutableMap.builder();
    for (CallKind kind : CallKind.values()) {
      sources.put(kind.name(), () -> count.applyAsLong(kind));
    }
    metrics.registerCallback(metric, sources.buildOrThrow());
  }
}
