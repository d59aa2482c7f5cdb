package org.amaranthstream.metrics;

import com.google.common.collect.ImmutableList;

/** Metrics of the daemon, documented in {@code docs/METRICS.md}. */
public enum Metric {
  CALLS(MetricType.COUNTER, "calls", "Calls that ended, by class and result code", "class", "code"),
  CALL_SECONDS(
      MetricType.HISTOGRAM, "call_seconds", "Time from a call to its end, by class", "class"),
  CONFIG_GENERATION(
      MetricType.GAUGE, "config_generation", "Generation of the configuration in force"),
  CONFIG_PLATFORM_REACHABLE(
      MetricType.GAUGE,
      "config_platform_reachable",
      "1 if the last read of the configuration was answered"),
  CONFIG_PLATFORM_BEHIND(
      MetricType.GAUGE,
      "config_platform_behind",
      "1 if the key-value service holds an older configuration than is in force"),
  CONFIG_REFUSED_DOCUMENTS(
      MetricType.COUNTER,
      "config_refused_documents",
      "Configurations that were not followed because they cannot be read"),
  CONFIG_CLASHES(
      MetricType.COUNTER,
      "config_clashes",
      "Configurations of the generation in force with other contents"),
  PLATFORM_CALLS(
      MetricType.COUNTER, "platform_calls", "Calls sent to the platform, by kind", "kind"),
  PLATFORM_CALLS_FAILED(
      MetricType.COUNTER,
      "platform_calls_failed",
      "Calls to the platform that were refused or lost, by kind",
      "kind"),
  PLATFORM_CALLS_OVER_BUDGET(
      MetricType.COUNTER,
      "platform_calls_over_budget",
      "Calls to the platform that were not sent because the budget was spent, by kind",
      "kind"),
  RESPONSE_BYTES_INVALID(
      MetricType.COUNTER,
      "response_bytes_invalid",
      "Connections closed because of bytes that are part of no response, by client",
      "client"),
  DUTY_QUEUE_TASKS(
      MetricType.GAUGE, "duty_queue_tasks", "Tasks that wait for a duty's thread", "duty"),
  DUTY_REFUSED_TASKS(
      MetricType.COUNTER, "duty_refused_tasks", "Tasks refused by a full ring", "duty"),
  DECISION_RECORDS_DROPPED(
      MetricType.COUNTER, "decision_records_dropped", "Decision records dropped by a full ring");

  private static final String PREFIX = "amaranthstream_";

  private final MetricType type;
  private final String name;
  private final String help;
  private final ImmutableList<String> labels;

  Metric(MetricType type, String name, String help, String... labels) {
    this.type = type;
    this.name = name;
    this.help = help;
    this.labels = ImmutableList.copyOf(labels);
  }

  /** Returns the type. */
  public MetricType type() {
    return type;
  }

  /** Returns the Prometheus name, without the suffix of the type (such as {@code _total}). */
  public String fullName() {
    return PREFIX + name;
  }

  /** Returns the help text. */
  public String help() {
    return help;
  }

  /** Returns the label names. */
  public ImmutableList<String> labels() {
    return labels;
  }
}
