package org.amaranthstream.bench.decisions;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.amaranthstream.bench.baseline.AdmitAll;
import org.amaranthstream.bench.baseline.FifoOrder;
import org.amaranthstream.bench.baseline.FixedLimit;
import org.amaranthstream.bench.baseline.GradientLimit;
import org.amaranthstream.bench.baseline.InteractiveFirstOrder;
import org.amaranthstream.bench.baseline.PlainRetry;
import org.amaranthstream.bench.baseline.RoundRobinPlacement;
import org.amaranthstream.dispatch.DispatchSettings;
import org.amaranthstream.dispatch.RetryBudget;
import org.amaranthstream.placement.ServerHealth;

/** The experiments whose results are in {@code docs/measurements/decisions.md}. */
final class DecisionExperiments {
  private static final Duration LONGER_THAN_RUN = Duration.ofHours(1);
  private static final Duration NEGLIGIBLE_QUARANTINE = Duration.ofNanos(1);

  private DecisionExperiments() {}

  /** Returns all experiments in the order in which they run. */
  static ImmutableList<Experiment> all() {
    List<Experiment> all = new ArrayList<>();
    for (double load : new double[] {0.5, 0.9, 1.2, 2.0}) {
      all.add(allPolicies(load));
      all.add(admission(load));
    }
    all.add(queueOrder(1.2));
    all.add(placement(0.9));
    for (double load : new double[] {0.9, 1.2, 2.0}) {
      all.add(concurrencyLimits(load));
    }
    all.add(overstatedSlots());
    all.add(crash());
    all.add(freeze(Fault.none(), "no server frozen"));
    all.add(freeze(Fault.freeze(), "one server frozen"));
    all.add(retries(0.9));
    all.add(retries(2.0));
    all.add(poison());
    all.add(healthDetection(0.05));
    all.add(healthDetection(0.8));
    return ImmutableList.copyOf(all);
  }

  private static Experiment allPolicies(double load) {
    return new Experiment(
        "all policies, load " + load,
        ImmutableList.of(DispatchPolicies.product(), DispatchPolicies.baseline()),
        Load.of(load),
        Fault.none());
  }

  private static Experiment admission(double load) {
    DispatchPolicies product = DispatchPolicies.product();
    return new Experiment(
        "admission, load " + load,
        ImmutableList.of(
            product.named("deadline"), product.withAdmission(new AdmitAll()).named("admit all")),
        Load.of(load),
        Fault.none());
  }

  private static Experiment queueOrder(double load) {
    DispatchPolicies product = DispatchPolicies.product();
    return new Experiment(
        "queue order, load " + load,
        ImmutableList.of(
            product.named("slack"),
            product.withOrder(InteractiveFirstOrder::new).named("interactive first"),
            product.withOrder(FifoOrder::new).named("first in first out")),
        Load.of(load),
        Fault.none());
  }

  private static Experiment placement(double load) {
    DispatchPolicies product = DispatchPolicies.product();
    return new Experiment(
        "placement, load " + load,
        ImmutableList.of(
            product.named("affinity, two choices"),
            product.withPlacement(RoundRobinPlacement::new).named("round robin")),
        Load.of(load),
        Fault.none());
  }

  private static Experiment concurrencyLimits(double load) {
    DispatchPolicies product = DispatchPolicies.product();
    return new Experiment(
        "concurrency limit, load " + load,
        ImmutableList.of(
            product.named("AIMD"),
            product.withLimits(GradientLimit::new).named("gradient"),
            product.withLimits(FixedLimit::new).named("fixed at the slots"),
            product.withLimits(slots -> new FixedLimit(4 * slots)).named("fixed at 4 x slots")),
        Load.of(load),
        Fault.none());
  }

  private static Experiment overstatedSlots() {
    DispatchPolicies product = DispatchPolicies.product();
    return new Experiment(
        "servers report 4 times their slots, load 2.0",
        ImmutableList.of(
            product.named("AIMD"),
            product.withLimits(GradientLimit::new).named("gradient"),
            product.withLimits(FixedLimit::new).named("fixed at the report")),
        Load.of(2.0),
        Fault.none(),
        SimulatedPoolSettings.defaults().withReportedSlots(32));
  }

  private static Experiment crash() {
    return new Experiment(
        "crash of one of eight servers, load 0.9",
        ImmutableList.of(DispatchPolicies.product(), DispatchPolicies.baseline()),
        Load.of(0.9),
        Fault.crash());
  }

  private static Experiment freeze(Fault fault, String title) {
    DispatchPolicies product = DispatchPolicies.product();
    DispatchSettings withoutTimeouts =
        DispatchSettings.builder()
            .firstChunkTimeout(LONGER_THAN_RUN)
            .nextChunkTimeout(LONGER_THAN_RUN)
            .build();
    return new Experiment(
        title + ", load 0.7",
        ImmutableList.of(
            product.named("resumed without progress"),
            product.withSettings(withoutTimeouts).named("left alone")),
        Load.of(0.7),
        fault);
  }

  private static Experiment retries(double load) {
    DispatchPolicies product = DispatchPolicies.product().withHealth(ServerHealth::alwaysHealthy);
    return new Experiment(
        "half of all attempts fail, load " + load,
        ImmutableList.of(
            product.named("retry budget"),
            product.withRetry(new PlainRetry(), RetryBudget::unlimited).named("plain retry")),
        Load.of(load),
        Fault.failuresEverywhere(0.5));
  }

  private static Experiment poison() {
    DispatchPolicies product = DispatchPolicies.product();
    DispatchSettings withoutQuarantine =
        DispatchSettings.builder().quarantineDuration(NEGLIGIBLE_QUARANTINE).build();
    return new Experiment(
        "poison request each second, load 0.9",
        ImmutableList.of(
            product.named("quarantine"),
            product.withSettings(withoutQuarantine).named("no quarantine")),
        Load.of(0.9).withPoison(),
        Fault.none());
  }

  private static Experiment healthDetection(double share) {
    DispatchPolicies product = DispatchPolicies.product();
    return new Experiment(
        "one server fails " + share + " of its requests, load 0.9",
        ImmutableList.of(
            product.named("two detectors"),
            product.withHealth(ServerHealth::alwaysHealthy).named("no health")),
        Load.of(0.9),
        Fault.failures(share));
  }
}
