package org.amaranthstream.bench.decisions;

import com.google.common.collect.ImmutableList;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Locale;

/**
 * Benchmark that prints the processor time of one request in the dispatcher for several numbers of
 * servers in its zone. The times include the simulated servers, so they are upper bounds.
 */
public final class DecisionCost {
  private static final double NANOS_PER_MICRO = 1e3;
  private static final int[] SERVER_COUNTS = {8, 30, 60, 120};

  private DecisionCost() {}

  /** Runs each number of servers twice, to warm up, and prints the time of the second run. */
  public static void main(String[] args) {
    for (int servers : SERVER_COUNTS) {
      measureMicros(servers);
      System.out.printf(
          Locale.ROOT, "servers=%d micros_per_request=%.1f%n", servers, measureMicros(servers));
    }
  }

  /** Returns the mean processor time of a request, in µs. */
  private static double measureMicros(int servers) {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    Experiment experiment =
        new Experiment(
            "cost",
            ImmutableList.of(DispatchPolicies.product()),
            Load.of(0.9),
            Fault.none(),
            SimulatedPoolSettings.defaults().withServers(servers));
    long startNanos = threads.getCurrentThreadCpuTime();
    RunResult result = SimulationRun.execute(experiment, DispatchPolicies.product(), 1);
    long usedNanos = threads.getCurrentThreadCpuTime() - startNanos;
    return usedNanos / NANOS_PER_MICRO / result.requests();
  }
}
