package org.amaranthstream.bench.experiment;

import com.google.common.collect.ImmutableMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/** Markdown table of results with one row for each load, fault and policy, over the seeds. */
final class ResultTable {
  private static final ImmutableMap<String, ToDoubleFunction<RunResult>> COLUMNS =
      ImmutableMap.<String, ToDoubleFunction<RunResult>>builder()
          .put("trainer idle share", RunResult::trainerIdleShare)
          .put("staleness median", RunResult::stalenessMedian)
          .put("p99", RunResult::stalenessP99)
          .put("max", RunResult::stalenessMax)
          .put("steps", RunResult::steps)
          .put("step median, ms", RunResult::stepMedianMs)
          .put("calls in time", RunResult::callsInTimeShare)
          .put("goodput, /s", RunResult::goodputPerSecond)
          .put("call p99, ms", RunResult::callP99Ms)
          .put("refusal max, ms", RunResult::refusalMaxMs)
          .put("orders in time", RunResult::ordersInTimeShare)
          .put("extra tokens", RunResult::extraTokensShare)
          .put("engine crashes", RunResult::engineCrashes)
          .put("tokens a sample", RunResult::tokensPerSample)
          .put("paid link, KB", RunResult::paidLinkKb)
          .put("promises broken", ResultTable::countInvariantViolations)
          .buildOrThrow();

  private ResultTable() {}

  /** Returns the table with a trailing line end. */
  static String of(List<RunResult> results) {
    StringBuilder table = new StringBuilder("| load | fault | policy | runs |");
    COLUMNS.keySet().forEach(column -> table.append(' ').append(column).append(" |"));
    table.append("\n|---|---|---|---|").append("---|".repeat(COLUMNS.size())).append('\n');
    groupByRow(results).forEach((row, runs) -> appendRow(table, row, runs));
    return table.toString();
  }

  /**
   * Returns the number of samples and calls that violate an invariant. A negative number of
   * mislabelled samples means that no engine's ledger was read; it counts as 0.
   */
  static long countInvariantViolations(RunResult run) {
    return run.samplesDoubled()
        + run.samplesLost()
        + run.samplesBroken()
        + Math.max(0, run.samplesMislabelled())
        + run.samplesTooOld()
        + run.callsWrong()
        + run.ordersDoubled()
        + run.ordersNotRunThatRan();
  }

  private static Map<String, List<RunResult>> groupByRow(List<RunResult> results) {
    return results.stream()
        .collect(
            Collectors.groupingBy(
                run -> "| " + run.load() + " | " + run.fault() + " | " + run.policy() + " |",
                LinkedHashMap::new,
                Collectors.toList()));
  }

  private static void appendRow(StringBuilder table, String row, List<RunResult> runs) {
    table.append(row).append(' ').append(runs.size()).append(" |");
    COLUMNS
        .values()
        .forEach(
            metric -> table.append(' ').append(Median.of(runs, metric).summary()).append(" |"));
    table.append('\n');
  }
}
