package org.amaranthstream.bench.experiment;

/**
 * Parameters of one run of an experiment.
 *
 * @param user the user whose sizes and targets apply
 * @param policy the policies of the daemons
 * @param load interactive load as a multiple of the engines' capacity
 * @param fault the fault to inject
 * @param seed the seed of the arrivals
 * @param seconds measured time, in s
 * @param capacityPerSecond number of lookups per second that the engines can complete
 */
record RunSpec(
    User user,
    Policy policy,
    double load,
    Fault fault,
    long seed,
    int seconds,
    double capacityPerSecond) {

  /** Returns the name of the run, used in folder names and prompts. */
  String name() {
    return "%s-%s-%.1f-%s-%d".formatted(user.label(), policy.label(), load, fault.label(), seed);
  }
}
