package org.amaranthstream.bench.decisions;

import com.google.common.collect.ImmutableList;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Locale;

/**
 * Prints the processor time of one request in the dispatcher by the number of servers in its zone.
 * The simulated servers are counted too, so the figures are upper bounds.
 */
public final class DecisionCost {
  private static final double NANOS_PER_MICRO = 1e3;
  private static final int[] SERVERS = {8, 30, 60, 120};

  private DecisionCost() {}

  /** Runs each number of servers twice and prints the second run. */
  public static void main(String[] args) {
    for (int servers : SERVERS) {
      measure(servers);
      System.out.printf(
          Locale.ROOT, "servers=%d micros_per_request=%.1f%n", servers, measure(servers));
    }
  }

  private static double measure(int servers) {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    Experiment experiment =
        new Experiment(
            "cost",
            ImmutableList.of(DispatchPolicies.product()),
            Load.of(0.9),
            Fault.none(),
            SimulatedPoolSettings.defaults().withServers(servers));
    long start = threads.getCurrentThreadCpuTime();
    RunResult result = SimulationRun.of(experiment, DispatchPolicies.product(), 1);
    long used = threads.getCurrentThreadCpuTime() - start;
    return used / NANOS_PER_MICRO / result.requests();
  }
}
