package org.amaranthstream.daemon;

import org.amaranthstream.dispatch.DispatcherBuilder;
import org.amaranthstream.rollout.RolloutServiceBuilder;

/** The product's policies, which are the defaults of the builders. */
enum StandardPolicies implements PolicySet {
  INSTANCE;

  @Override
  public void configure(DispatcherBuilder dispatcher) {}

  @Override
  public void configure(RolloutServiceBuilder rollout) {}
}
