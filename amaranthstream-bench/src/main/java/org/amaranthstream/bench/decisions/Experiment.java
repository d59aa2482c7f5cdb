package org.amaranthstream.bench.decisions;

import com.google.common.collect.ImmutableList;

/**
 * DispatchPolicies that are compared in one run under the same load and fault.
 *
 * @param title what is compared
 * @param policies the policies, the baseline last
 * @param load the load
 * @param fault the fault
 * @param model the shape of the pool
 */
record Experiment(
    String title,
    ImmutableList<DispatchPolicies> policies,
    Load load,
    Fault fault,
    SimulatedPoolSettings model) {

  Experiment(String title, ImmutableList<DispatchPolicies> policies, Load load, Fault fault) {
    this(title, policies, load, fault, SimulatedPoolSettings.defaults());
  }
}
