package org.amaranthstream.bench.experiment;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.amaranthstream.standins.server.Json;

/** Experiment whose runs follow one another, each with a new cluster. */
final class Experiment {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ExperimentPlan plan;
  private final Path workFolder;

  Experiment(ExperimentPlan plan, Path workFolder) {
    this.plan = plan;
    this.workFolder = workFolder;
  }

  /** Executes all runs, appends each result to the results file and returns the results. */
  List<RunResult> run() throws IOException {
    double capacity = measureCapacity();
    logger.atInfo().log("event=capacity_measured calls_per_s=%.1f", capacity);
    List<RunResult> results = new ArrayList<>();
    for (int seed = 1; seed <= plan.seeds(); seed++) {
      for (Fault fault : plan.faults()) {
        for (double load : plan.loads()) {
          for (Policy policy : plan.policies()) {
            RunSpec spec =
                new RunSpec(plan.user(), policy, load, fault, seed, plan.seconds(), capacity);
            results.add(runOne(spec));
          }
        }
      }
    }
    return results;
  }

  private double measureCapacity() throws IOException {
    try (Cluster cluster = Cluster.startBackends(plan.user(), workFolder.resolve("capacity"))) {
      return CapacityMeasurement.measure(cluster);
    }
  }

  private RunResult runOne(RunSpec spec) throws IOException {
    logger.atInfo().log("event=run_started run=%s", spec.name());
    try (Cluster cluster = Cluster.startBackends(spec.user(), workFolder.resolve(spec.name()))) {
      cluster.startDaemons(spec.policy());
      try (ExperimentRun run = new ExperimentRun(cluster, spec)) {
        RunResult result = run.run();
        appendResult(result);
        return result;
      }
    }
  }

  private void appendResult(RunResult result) throws IOException {
    String line = Json.text(result);
    System.out.println(line);
    Files.createDirectories(plan.outputFolder());
    Files.writeString(
        plan.resultsFile(), line + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
  }
}
