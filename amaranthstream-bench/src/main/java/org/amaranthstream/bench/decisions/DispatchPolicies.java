package org.amaranthstream.bench.decisions;

import java.util.Random;
import java.util.function.Supplier;
import org.amaranthstream.admission.AdmissionPolicy;
import org.amaranthstream.admission.DeadlineAdmission;
import org.amaranthstream.bench.baseline.AdmitAll;
import org.amaranthstream.bench.baseline.FifoOrder;
import org.amaranthstream.bench.baseline.FixedLimit;
import org.amaranthstream.bench.baseline.PlainRetry;
import org.amaranthstream.bench.baseline.RoundRobinPlacement;
import org.amaranthstream.dispatch.DispatchSettings;
import org.amaranthstream.dispatch.DispatcherBuilder;
import org.amaranthstream.dispatch.IdempotentRetry;
import org.amaranthstream.dispatch.QueueOrder;
import org.amaranthstream.dispatch.RetryBudget;
import org.amaranthstream.dispatch.RetryPolicy;
import org.amaranthstream.dispatch.SlackOrder;
import org.amaranthstream.dispatch.SuccessShareBudget;
import org.amaranthstream.placement.AffinityPlacement;
import org.amaranthstream.placement.AimdLimit;
import org.amaranthstream.placement.ConcurrencyLimit;
import org.amaranthstream.placement.HysteresisHealth;
import org.amaranthstream.placement.PlacementPolicy;
import org.amaranthstream.placement.ServerHealth;

/**
 * Named combination of the policies and settings of a dispatcher.
 *
 * @param name the name in tables
 * @param admission decides whether to admit a request
 * @param order orders the queue
 * @param placement chooses the server of an attempt
 * @param limits limits the concurrency of a server
 * @param health decides whether a server is healthy
 * @param retry decides whether to retry an attempt
 * @param budget limits the number of retries
 * @param settings limits and timeouts of the dispatcher
 */
record DispatchPolicies(
    String name,
    AdmissionPolicy admission,
    QueueOrder.Factory order,
    Supplier<PlacementPolicy> placement,
    ConcurrencyLimit.Factory limits,
    ServerHealth.Factory health,
    RetryPolicy retry,
    Supplier<RetryBudget> budget,
    DispatchSettings settings) {
  private static final long PLACEMENT_SEED = 17;

  /** Returns the default policies of the product. */
  static DispatchPolicies product() {
    return new DispatchPolicies(
        "product",
        DeadlineAdmission.create(),
        SlackOrder::create,
        () -> AffinityPlacement.create(new Random(PLACEMENT_SEED)),
        AimdLimit::startingAt,
        HysteresisHealth::create,
        IdempotentRetry.create(),
        SuccessShareBudget::create,
        DispatchSettings.defaults());
  }

  /** Returns round robin, first in first out, a limit fixed at the slots and plain retry. */
  static DispatchPolicies baseline() {
    return new DispatchPolicies(
        "baseline",
        new AdmitAll(),
        FifoOrder::new,
        RoundRobinPlacement::new,
        FixedLimit::new,
        ServerHealth::alwaysHealthy,
        new PlainRetry(),
        RetryBudget::unlimited,
        DispatchSettings.defaults());
  }

  DispatchPolicies named(String newName) {
    return new DispatchPolicies(
        newName, admission, order, placement, limits, health, retry, budget, settings);
  }

  DispatchPolicies withAdmission(AdmissionPolicy other) {
    return new DispatchPolicies(
        name, other, order, placement, limits, health, retry, budget, settings);
  }

  DispatchPolicies withOrder(QueueOrder.Factory other) {
    return new DispatchPolicies(
        name, admission, other, placement, limits, health, retry, budget, settings);
  }

  DispatchPolicies withPlacement(Supplier<PlacementPolicy> other) {
    return new DispatchPolicies(
        name, admission, order, other, limits, health, retry, budget, settings);
  }

  DispatchPolicies withLimits(ConcurrencyLimit.Factory other) {
    return new DispatchPolicies(
        name, admission, order, placement, other, health, retry, budget, settings);
  }

  DispatchPolicies withHealth(ServerHealth.Factory other) {
    return new DispatchPolicies(
        name, admission, order, placement, limits, other, retry, budget, settings);
  }

  DispatchPolicies withRetry(RetryPolicy other, Supplier<RetryBudget> otherBudget) {
    return new DispatchPolicies(
        name, admission, order, placement, limits, health, other, otherBudget, settings);
  }

  DispatchPolicies withSettings(DispatchSettings other) {
    return new DispatchPolicies(
        name, admission, order, placement, limits, health, retry, budget, other);
  }

  /** Sets the policies and settings on a builder and returns the builder. */
  DispatcherBuilder apply(DispatcherBuilder builder) {
    return builder
        .admission(admission)
        .queueOrder(order)
        .placement(placement.get())
        .limits(limits)
        .healths(health)
        .retryPolicy(retry)
        .retryBudget(budget.get())
        .settings(settings);
  }
}
