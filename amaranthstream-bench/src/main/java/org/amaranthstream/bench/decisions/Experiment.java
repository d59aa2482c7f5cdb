package org.amaranthstream.bench.decisions;

import com.google.common.collect.ImmutableList;

/**
 * Comparison of policies under the same load and fault.
 *
 * @param title the title of the table
 * @param policies the policies to compare, the baseline last
 * @param load the load
 * @param fault the fault
 * @param settings the settings of the simulated pool
 */
record Experiment(
    String title,
    ImmutableList<DispatchPolicies> policies,
    Load load,
    Fault fault,
    SimulatedPoolSettings settings) {

  Experiment(String title, ImmutableList<DispatchPolicies> policies, Load load, Fault fault) {
    this(title, policies, load, fault, SimulatedPoolSettings.defaults());
  }
}
