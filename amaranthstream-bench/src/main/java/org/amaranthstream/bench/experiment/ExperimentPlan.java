package org.amaranthstream.bench.experiment;

import com.google.common.collect.ImmutableList;
import java.nio.file.Path;

/**
 * Parameters of an experiment. It runs every combination of them.
 *
 * @param user the user whose sizes and targets apply
 * @param policies the policies to compare; every seed runs each of them, so that runs with the same
 *     seed can be compared in pairs
 * @param loads interactive loads as multiples of the engines' capacity
 * @param faults the faults to inject, one in each run
 * @param seeds number of seeds
 * @param seconds measured time of a run, in s
 * @param outputFolder the folder of the output files
 * @param name the base name of the output files
 */
record ExperimentPlan(
    User user,
    ImmutableList<Policy> policies,
    ImmutableList<Double> loads,
    ImmutableList<Fault> faults,
    int seeds,
    int seconds,
    Path outputFolder,
    String name) {

  /** Returns the file with one JSON line for each run. */
  Path resultsFile() {
    return outputFolder.resolve(name + ".jsonl");
  }

  /** Returns the file of the Markdown table. */
  Path tableFile() {
    return outputFolder.resolve(name + ".md");
  }
}
