package org.amaranthstream.bench.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * Benchmark that compares the policies of the dispatcher with their baselines, on simulated servers
 * in virtual time. It prints one table for each experiment.
 *
 * <pre>{@code
 * java -cp amaranthstream-bench/target/amaranthstream-bench-0.1.0-all.jar \
 *     org.amaranthstream.bench.decisions.DecisionBench 5
 * }</pre>
 */
public final class DecisionBench {
  private static final int DEFAULT_SEEDS = 5;
  private static final String HEADER =
      "| policy | in time | refused | error | goodput/s | p50 ms | p99 ms | training in time"
          + " | training tokens | wasted tokens | cache hits | late refusals"
          + " | failed attempts | crashes |";
  private static final String SEPARATOR = "|---".repeat(14) + "|";

  private DecisionBench() {}

  /**
   * Prints the medians over the seeds, and the range of the share of requests in time.
   *
   * @param args the number of seeds and a part of the titles of the experiments to run; both are
   *     optional
   */
  public static void main(String[] args) {
    int seeds = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_SEEDS;
    for (Experiment experiment : DecisionExperiments.all()) {
      if (args.length < 2 || experiment.title().contains(args[1])) {
        printTable(experiment, seeds);
      }
    }
  }

  private static void printTable(Experiment experiment, int seeds) {
    System.out.println("\n### " + experiment.title() + "\n");
    System.out.println(HEADER);
    System.out.println(SEPARATOR);
    for (DispatchPolicies policies : experiment.policies()) {
      List<RunResult> results = new ArrayList<>();
      for (int seed = 1; seed <= seeds; seed++) {
        results.add(SimulationRun.execute(experiment, policies, seed));
      }
      System.out.println(formatRow(policies.name(), results));
    }
  }

  private static String formatRow(String name, List<RunResult> results) {
    return String.format(
        Locale.ROOT,
        "| %s | %.1f%% (%.1f-%.1f) | %.1f%% | %.2f%% | %.1f | %.0f | %.0f | %.1f%% | %.1f | %.2f%%"
            + " | %.0f%% | %.0f%% | %.0f | %.0f |",
        name,
        100 * median(results, RunResult::inTimeShare),
        100 * results.stream().mapToDouble(RunResult::inTimeShare).min().orElseThrow(),
        100 * results.stream().mapToDouble(RunResult::inTimeShare).max().orElseThrow(),
        100 * median(results, RunResult::rejectedShare),
        100 * median(results, RunResult::errorShare),
        median(results, RunResult::goodput),
        median(results, RunResult::medianMillis),
        median(results, RunResult::p99Millis),
        100 * median(results, RunResult::trainingInTimeShare),
        median(results, RunResult::trainingTokens),
        100 * median(results, RunResult::wastedShare),
        100 * median(results, RunResult::cacheHitShare),
        100 * median(results, RunResult::lateRejectionShare),
        median(results, RunResult::failures),
        median(results, RunResult::crashes));
  }

  private static double median(List<RunResult> results, ToDoubleFunction<RunResult> metric) {
    double[] values = results.stream().mapToDouble(metric).sorted().toArray();
    return values[values.length / 2];
  }
}
