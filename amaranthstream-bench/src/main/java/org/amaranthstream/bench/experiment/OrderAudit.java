package org.amaranthstream.bench.experiment;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.io.IOException;
import java.util.Set;

/**
 * Judges orders by the ledgers of the services.
 *
 * @param doubled orders that ran more than once
 * @param notRunThatRan orders whose caller was told "not run" and that ran
 */
record OrderAudit(long doubled, long notRunThatRan) {

  /** Reads the ledgers and compares them with the calls that were refused. */
  static OrderAudit read(Cluster cluster, String run, Set<Long> refused) throws IOException {
    Multiset<String> runs = HashMultiset.create();
    for (BackendProcess service : cluster.services()) {
      cluster.ledger(service.url()).runs().forEach(entry -> runs.add(entry.key()));
    }
    long doubled = runs.entrySet().stream().filter(entry -> entry.getCount() > 1).count();
    long ran =
        refused.stream()
            .map(call -> CallSpecs.digest(CallSpecs.orderBody(run, call)))
            .filter(runs::contains)
            .count();
    return new OrderAudit(doubled, ran);
  }
}
