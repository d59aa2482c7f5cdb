package org.amaranthstream.bench.experiment;

import java.util.Locale;
import org.amaranthstream.daemon.PolicySet;

/** Set of policies that the daemons of a run use. */
enum Policy {
  /** The policies of the product. */
  AMARANTHSTREAM,
  /** The policies of {@link BaselinePolicies}. */
  BASELINE;

  /** Returns the policy with a label. */
  static Policy of(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT));
  }

  PolicySet policySet() {
    return this == BASELINE ? new BaselinePolicies() : PolicySet.standard();
  }

  /** Returns the name in lower case, as in the flags and results. */
  String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
