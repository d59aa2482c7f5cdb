package org.amaranthstream.bench.experiment;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.io.IOException;
import java.util.Set;

/**
 * Comparison of the orders that callers sent with the ledgers of the services.
 *
 * @param doubled number of orders that ran more than once
 * @param notRunThatRan number of orders that ran although the response said "not run"
 */
record OrderAudit(long doubled, long notRunThatRan) {

  /**
   * Reads the ledgers and compares them with the rejected calls.
   *
   * @param run the name of the run
   * @param rejected the numbers of the calls that were rejected as not run
   */
  static OrderAudit read(Cluster cluster, String run, Set<Long> rejected) throws IOException {
    Multiset<String> runsByKey = HashMultiset.create();
    for (BackendProcess service : cluster.services()) {
      cluster.ledger(service.url()).runs().forEach(entry -> runsByKey.add(entry.key()));
    }
    long doubled = runsByKey.entrySet().stream().filter(entry -> entry.getCount() > 1).count();
    long rejectedThatRan =
        rejected.stream()
            .map(call -> CallSpecs.digest(CallSpecs.orderBody(run, call)))
            .filter(runsByKey::contains)
            .count();
    return new OrderAudit(doubled, rejectedThatRan);
  }
}
