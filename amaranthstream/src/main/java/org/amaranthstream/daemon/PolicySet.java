package org.amaranthstream.daemon;

import org.amaranthstream.dispatch.DispatcherBuilder;
import org.amaranthstream.rollout.RolloutServiceBuilder;

/** The policies of a daemon. The benchmarks compare the product's policies with other ones. */
public interface PolicySet {

  /** Sets the policies of the dispatcher. */
  void configure(DispatcherBuilder dispatcher);

  /** Sets the policies of the rollout service. */
  void configure(RolloutServiceBuilder rollout);

  /** Returns the product's policies. */
  static PolicySet standard() {
    return StandardPolicies.INSTANCE;
  }
}
