package org.amaranthstream.daemon;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.function.DoubleSupplier;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.ids.WorkClassId;
import org.amaranthstream.metrics.ControlMetrics;
import org.amaranthstream.metrics.Metric;
import org.amaranthstream.metrics.Metrics;
import org.amaranthstream.result.ResultCode;

/**
 * The metrics of a daemon, registered with the components that supply their values. Thread safe.
 */
final class DaemonMetrics {
  private static final double NANOS_PER_SECOND = 1e9;

  private final Metrics metrics = Metrics.create();

  DaemonMetrics(DaemonComponents components) {
    ControlMetrics.registerConfig(metrics, components.config());
    ControlMetrics.registerPlatform(metrics, components.platformCounts());
    ControlMetrics.registerFraming(metrics, components.clients());
    Threads threads = components.threads();
    metrics.registerCallback(
        Metric.DUTY_QUEUE_TASKS,
        ImmutableMap.<String, DoubleSupplier>of(
            "decisions", threads.decisions()::depth, "platform", threads.platform()::depth));
    metrics.registerCallback(
        Metric.DUTY_REFUSED_TASKS,
        ImmutableMap.<String, DoubleSupplier>of(
            "decisions",
            threads.decisions()::refusedCount,
            "platform",
            threads.platform()::refusedCount));
  }

  Metrics registry() {
    return metrics;
  }

  /** Records the outcome and the latency of a call. */
  void onOutcome(WorkClassId workClass, Outcome outcome, Duration latency) {
    metrics.count(Metric.CALLS, workClass.value(), codeOf(outcome).name());
    metrics.observe(Metric.CALL_SECONDS, latency.toNanos() / NANOS_PER_SECOND, workClass.value());
  }

  private static ResultCode codeOf(Outcome outcome) {
    if (outcome instanceof Outcome.NotRun notRun) {
      return notRun.error().code();
    }
    if (outcome instanceof Outcome.OutcomeUnknown unknown) {
      return unknown.error().code();
    }
    return ResultCode.OK;
  }
}
