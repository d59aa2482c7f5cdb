package org.amaranthstream.bench.experiment;

import java.io.IOException;

/**
 * Sums over the engines' ledgers.
 *
 * @param tokens tokens generated
 * @param crashes crashes
 */
record EngineTotals(long tokens, long crashes) {

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
