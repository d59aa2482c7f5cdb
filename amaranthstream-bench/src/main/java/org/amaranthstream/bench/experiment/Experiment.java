package org.amaranthstream.bench.experiment;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.amaranthstream.standins.server.Json;

/** All runs of an experiment, one after another, each with a cluster of its own. */
final class Experiment {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ExperimentPlan plan;
  private final Path work;

  Experiment(ExperimentPlan plan, Path work) {
    this.plan = plan;
    this.work = work;
  }

  /** Runs everything, appends each result to the JSON lines and returns those of this call. */
  List<RunResult> run() throws IOException {
    double capacity = capacity();
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

  private double capacity() throws IOException {
    try (Cluster cluster = Cluster.startBackends(plan.user(), work.resolve("capacity"))) {
      return CapacityMeasurement.measure(cluster);
    }
  }

  private RunResult runOne(RunSpec spec) throws IOException {
    logger.atInfo().log("event=run_started run=%s", spec.name());
    try (Cluster cluster = Cluster.startBackends(spec.user(), work.resolve(spec.name()))) {
      cluster.startDaemons(spec.policy());
      try (ExperimentRun run = new ExperimentRun(cluster, spec)) {
        RunResult result = run.run();
        append(result);
        return result;
      }
    }
  }

  private void append(RunResult result) throws IOException {
    String line = Json.text(result);
    System.out.println(line);
    Files.createDirectories(plan.out());
    Files.writeString(
        plan.lines(), line + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
  }
}
