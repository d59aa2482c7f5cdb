package org.amaranthstream.bench.experiment;

import java.util.Locale;
import org.amaranthstream.daemon.PolicySet;

/** The decisions that daemons take. */
enum Policy {
  /** Those of the product. */
  AMARANTHSTREAM(PolicySet.standard()),
  /** Round robin, first in first out, fixed concurrency, no generate-ahead, plain retry. */
  BASELINE(new BaselinePolicies());

  private final PolicySet policies;

  Policy(PolicySet policies) {
    this.policies = policies;
  }

  static Policy of(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT));
  }

  PolicySet policies() {
    return policies;
  }

  String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
