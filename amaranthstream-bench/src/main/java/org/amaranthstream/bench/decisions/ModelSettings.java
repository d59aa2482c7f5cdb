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
record ModelSettings(
    int servers,
    int slots,
    double tokenMillis,
    double hitPrefillMillis,
    double missPrefillMillis,
    int cachedPrefixes,
    long reportLagMillis,
    int reportedSlots) {

  static ModelSettings defaults() {
    return new ModelSettings(8, 8, 20, 10, 100, 16, 1000, 8);
  }

  ModelSettings withServers(int number) {
    return new ModelSettings(
        number,
        slots,
        tokenMillis,
        hitPrefillMillis,
        missPrefillMillis,
        cachedPrefixes,
        reportLagMillis,
        reportedSlots);
  }

  ModelSettings withReportedSlots(int reported) {
    return new ModelSettings(
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
