package org.amaranthstream.bench.experiment;

import java.util.List;
import java.util.Map;

/**
 * Ledger of a stand-in.
 *
 * @param counters counts by name
 * @param runs the newest runs
 */
record Ledger(Map<String, Long> counters, List<LedgerRun> runs) {
  long counter(String name) {
    return counters.getOrDefault(name, 0L);
  }

  /** One run of one request. */
  record LedgerRun(String key, String state) {}
}
