package org.amaranthstream.metrics;

import com.google.common.collect.ImmutableMap;
import java.util.function.DoubleSupplier;
import java.util.function.ToLongFunction;
import org.amaranthstream.config.ConfigKeeper;
import org.amaranthstream.config.ConfigStatus;
import org.amaranthstream.platform.CallCounts;
import org.amaranthstream.platform.CallKind;

/** Shows the configuration and the platform client as metrics. */
public final class ControlMetrics {
  private ControlMetrics() {}

  /** Shows the state of {@code keeper}. */
  public static void readConfig(Metrics metrics, ConfigKeeper keeper) {
    read(metrics, Metric.CONFIG_GENERATION, keeper, status -> status.applied().value());
    read(metrics, Metric.CONFIG_PLATFORM_REACHABLE, keeper, s -> flag(s.platformReachable()));
    read(metrics, Metric.CONFIG_PLATFORM_BEHIND, keeper, s -> flag(s.platformBehind()));
    read(metrics, Metric.CONFIG_REFUSED_DOCUMENTS, keeper, ConfigStatus::refusedDocuments);
    read(metrics, Metric.CONFIG_CLASHES, keeper, ConfigStatus::clashes);
  }

  private static void read(
      Metrics metrics, Metric metric, ConfigKeeper keeper, ToLongFunction<ConfigStatus> value) {
    metrics.read(metric, () -> value.applyAsLong(keeper.status()));
  }

  private static long flag(boolean value) {
    return value ? 1 : 0;
  }

  /** Shows the counts of calls to the platform. */
  public static void readPlatform(Metrics metrics, CallCounts counts) {
    readKinds(metrics, Metric.PLATFORM_CALLS, counts::sent);
    readKinds(metrics, Metric.PLATFORM_CALLS_FAILED, counts::failed);
    readKinds(metrics, Metric.PLATFORM_CALLS_OVER_BUDGET, counts::overBudget);
  }

  private static void readKinds(Metrics metrics, Metric metric, ToLongFunction<CallKind> count) {
    ImmutableMap.Builder<String, DoubleSupplier> sources = ImmutableMap.builder();
    for (CallKind kind : CallKind.values()) {
      sources.put(kind.name(), () -> count.applyAsLong(kind));
    }
    metrics.read(metric, sources.buildOrThrow());
  }
}
