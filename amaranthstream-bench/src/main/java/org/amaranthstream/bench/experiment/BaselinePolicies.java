package org.amaranthstream.bench.experiment;

import org.amaranthstream.bench.baseline.AdmitAll;
import org.amaranthstream.bench.baseline.FifoOrder;
import org.amaranthstream.bench.baseline.FixedLimit;
import org.amaranthstream.bench.baseline.PlainRetry;
import org.amaranthstream.bench.baseline.RoundRobinPlacement;
import org.amaranthstream.daemon.PolicySet;
import org.amaranthstream.dispatch.DispatcherBuilder;
import org.amaranthstream.dispatch.RetryBudget;
import org.amaranthstream.placement.LinkBudget;
import org.amaranthstream.placement.ServerHealth;
import org.amaranthstream.rollout.FixedGenerateAhead;
import org.amaranthstream.rollout.RolloutServiceBuilder;

/**
 * Baseline policies that the product's policies are compared with: admission until the queue is
 * full, round-robin placement, first-in-first-out order, fixed concurrency, no generate-ahead and
 * retries without a budget.
 */
final class BaselinePolicies implements PolicySet {
  /** Concurrency limit of a server whose number of slots is not known. */
  private static final int DEFAULT_CONCURRENCY = 4;

  @Override
  public void configure(DispatcherBuilder dispatcher) {
    dispatcher
        .admission(new AdmitAll())
        .placement(new RoundRobinPlacement())
        .queueOrder(FifoOrder::new)
        .retryPolicy(new PlainRetry())
        .retryBudget(RetryBudget.unlimited())
        .linkBudget(LinkBudget.unlimited())
        .limits(slots -> new FixedLimit(slots == 0 ? DEFAULT_CONCURRENCY : slots))
        .healths(ServerHealth::alwaysHealthy);
  }

  @Override
  public void configure(RolloutServiceBuilder rollout) {
    rollout.generateAhead(new FixedGenerateAhead(0));
  }
}
