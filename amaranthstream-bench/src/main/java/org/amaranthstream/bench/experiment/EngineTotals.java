package org.amaranthstream.bench.experiment;

import java.io.IOException;

/**
 * Totals of the counters in the engines' ledgers.
 *
 * @param tokens number of generated tokens
 * @param crashes number of crashes
 */
record EngineTotals(long tokens, long crashes) {

  /** Reads the ledgers of all engines and adds up their counters. */
  static EngineTotals read(Cluster cluster) throws IOException {
    long tokens = 0;
    long crashes = 0;
    for (BackendProcess engine : cluster.engines()) {
      Ledger ledger = cluster.ledger(engine.url());
      tokens += ledger.counter("tokens");
      crashes += ledger.counter("crashes");
    }
    return new EngineTotals(tokens, crashes);
  }
}
