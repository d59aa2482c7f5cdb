package org.amaranthstream.bench.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * Compares the policies of the dispatcher with their baselines on simulated servers in virtual time
 * and prints a table.
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
  private static final String RULE = "|---".repeat(14) + "|";

  private DecisionBench() {}

  /** Prints the medians, and the spread of the share in time, over the seeds. */
  public static void main(String[] args) {
    int seeds = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_SEEDS;
    for (Experiment experiment : DecisionExperiments.all()) {
      if (args.length < 2 || experiment.title().contains(args[1])) {
        print(experiment, seeds);
      }
    }
  }

  private static void print(Experiment experiment, int seeds) {
    System.out.println("\n### " + experiment.title() + "\n");
    System.out.println(HEADER);
    System.out.println(RULE);
    for (DispatchPolicies policies : experiment.policies()) {
      List<RunResult> results = new ArrayList<>();
      for (int seed = 1; seed <= seeds; seed++) {
        results.add(SimulationRun.of(experiment, policies, seed));
      }
      System.out.println(row(policies.name(), results));
    }
  }

  private static String row(String name, List<RunResult> results) {
    return String.format(
        Locale.ROOT,
        "| %s | %.1f%% (%.1f-%.1f) | %.1f%% | %.2f%% | %.1f | %.0f | %.0f | %.1f%% | %.1f | %.2f%%"
            + " | %.0f%% | %.0f%% | %.0f | %.0f |",
        name,
        100 * median(results, RunResult::inTimeShare),
        100 * results.stream().mapToDouble(RunResult::inTimeShare).min().orElseThrow(),
        100 * results.stream().mapToDouble(RunResult::inTimeShare).max().orElseThrow(),
        100 * median(results, RunResult::refusedShare),
        100 * median(results, RunResult::errorShare),
        median(results, RunResult::goodput),
        median(results, RunResult::medianMillis),
        median(results, RunResult::p99Millis),
        100 * median(results, RunResult::trainingInTimeShare),
        median(results, RunResult::trainingTokens),
        100 * median(results, RunResult::wastedShare),
        100 * median(results, RunResult::cacheHitShare),
        100 * median(results, RunResult::lateRefusalShare),
        median(results, RunResult::failures),
        median(results, RunResult::crashes));
  }

  private static double median(List<RunResult> results, ToDoubleFunction<RunResult> measure) {
    double[] values = results.stream().mapToDouble(measure).sorted().toArray();
    return values[values.length / 2];
  }
}
