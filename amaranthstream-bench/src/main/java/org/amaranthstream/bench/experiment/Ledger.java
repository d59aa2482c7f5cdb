package org.amaranthstream.bench.experiment;

import java.util.List;
import java.util.Map;

/**
 * Ledger of a stand-in, as read from its control port.
 *
 * @param counters the counters by name
 * @param runs the most recent runs
 */
record Ledger(Map<String, Long> counters, List<LedgerRun> runs) {
  /** Returns the value of a counter, or 0 if there is none with that name. */
  long counter(String name) {
    return counters.getOrDefault(name, 0L);
  }

  /**
   * One run of one request.
   *
   * @param key the key that identifies the request
   * @param state the state of the run
   */
  record LedgerRun(String key, String state) {}
}
