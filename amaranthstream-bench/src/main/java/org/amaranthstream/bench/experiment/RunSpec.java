package org.amaranthstream.bench.experiment;

/**
 * One run of an experiment.
 *
 * @param user whose sizes
 * @param policy which decisions
 * @param load interactive load as a multiple of the engines' capacity
 * @param fault what goes wrong
 * @param seed seed of arrivals
 * @param seconds measured time, in s
 * @param capacityPerSecond calls a second that the engines can answer
 */
record RunSpec(
    User user,
    Policy policy,
    double load,
    Fault fault,
    long seed,
    int seconds,
    double capacityPerSecond) {

  String name() {
    return "%s-%s-%.1f-%s-%d".formatted(user.label(), policy.label(), load, fault.label(), seed);
  }
}
