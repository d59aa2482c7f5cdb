package org.amaranthstream.daemon;

import org.amaranthstream.dispatch.DispatcherBuilder;
import org.amaranthstream.rollout.RolloutServiceBuilder;

/** The decisions that a daemon takes; the bench brings others to compare with. */
public interface PolicySet {

  /** Sets the policies of the dispatcher. */
  void configure(DispatcherBuilder dispatcher);

  /** Sets the policies of the rollout service. */
  void configure(RolloutServiceBuilder rollout);

  /** Returns the policies of the product. */
  static PolicySet standard() {
    return StandardPolicies.INSTANCE;
  }
}
