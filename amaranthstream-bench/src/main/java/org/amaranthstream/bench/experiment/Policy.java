package org.amaranthstream.bench.experiment;

import java.util.Locale;
import org.amaranthstream.daemon.PolicySet;

/** The decisions that daemons take. */
enum Policy {
  /** Those of the product. */
  AMARANTHSTREAM,
  /** Round robin, first in first out, fixed concurrency, no generate-ahead, plain retry. */
  BASELINE;

  static Policy of(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT));
  }

  PolicySet policies() {
    return this == BASELINE ? new BaselinePolicies() : PolicySet.standard();
  }

  String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
