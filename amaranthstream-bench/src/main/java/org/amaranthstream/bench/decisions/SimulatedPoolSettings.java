package org.amaranthstream.bench.decisions;

/**
 * Shape of the simulated pool.
 *
 * @param servers number of servers
 * @param slots requests that one server runs at once
 * @param tokenMillis time of one token
 * @param hitPrefillMillis time until the first token if the prefix is cached
 * @param missPrefillMillis time until the first token if it is not
 * @param cachedPrefixes prefixes that one server keeps
 * @param reportLagMillis age of a load report when it is seen
 * @param reportedSlots slots that a server says it has
 */
record SimulatedPoolSettings(
    int servers,
    int slots,
    double tokenMillis,
    double hitPrefillMillis,
    double missPrefillMillis,
    int cachedPrefixes,
    long reportLagMillis,
    int reportedSlots) {

  static SimulatedPoolSettings defaults() {
    return new SimulatedPoolSettings(8, 8, 20, 10, 100, 16, 1000, 8);
  }

  SimulatedPoolSettings withServers(int number) {
    return new SimulatedPoolSettings(
        number,
        slots,
        tokenMillis,
        hitPrefillMillis,
        missPrefillMillis,
        cachedPrefixes,
        reportLagMillis,
        reportedSlots);
  }

  SimulatedPoolSettings withReportedSlots(int reported) {
    return new SimulatedPoolSettings(
        servers,
        slots,
        tokenMillis,
        hitPrefillMillis,
        missPrefillMillis,
        cachedPrefixes,
        reportLagMillis,
        reported);
  }
}
