package org.amaranthstream.bench.decisions;

/**
 * Settings of a simulated pool.
 *
 * @param servers number of servers
 * @param slots number of requests that one server runs concurrently
 * @param tokenMillis time to generate one token, in ms
 * @param hitPrefillMillis time until the first token if the prefix is cached, in ms
 * @param missPrefillMillis time until the first token if the prefix is not cached, in ms
 * @param cachedPrefixes number of prefixes that one server caches
 * @param reportLagMillis age of a load report when the dispatcher reads it, in ms
 * @param reportedSlots number of slots that a server reports
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
