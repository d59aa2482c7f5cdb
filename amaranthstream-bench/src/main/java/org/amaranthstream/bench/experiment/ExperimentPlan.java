package org.amaranthstream.bench.experiment;

import com.google.common.collect.ImmutableList;
import java.nio.file.Path;

/**
 * What an experiment runs.
 *
 * @param user whose sizes
 * @param policies which decisions, paired in each seed
 * @param loads interactive loads as multiples of the engines' capacity
 * @param faults what goes wrong
 * @param seeds number of seeds
 * @param seconds measured time of a run, in s
 * @param out folder of the results
 * @param name name of the results' files
 */
record ExperimentPlan(
    User user,
    ImmutableList<Policy> policies,
    ImmutableList<Double> loads,
    ImmutableList<Fault> faults,
    int seeds,
    int seconds,
    Path out,
    String name) {

  Path lines() {
    return out.resolve(name + ".jsonl");
  }

  Path table() {
    return out.resolve(name + ".md");
  }
}
