package org.amaranthstream.bench.experiment;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.standins.server.BlockingHttp;
import org.amaranthstream.standins.trainer.TrainerOptions;
import org.amaranthstream.standins.trainer.TrainerReport;
import org.amaranthstream.standins.trainer.TrainerStandin;

/** Offers the work of one run to a cluster and measures. One thread. */
final class ExperimentRun implements AutoCloseable {
  private static final int WARM_UP_MS = 4_000;
  private static final int MANY_STEPS = 10_000;
  private static final Duration LAST_ANSWERS = Duration.ofSeconds(4);
  private static final int BYTES_PER_KB = 1024;

  private final Cluster cluster;
  private final RunSpec spec;
  private final Vertx vertx = Vertx.vertx();
  private final BlockingHttp pauses = new BlockingHttp(Optional.empty());
  private final CallClient lookups;
  private final CallClient orders;

  ExperimentRun(Cluster cluster, RunSpec spec) {
    this.cluster = cluster;
    this.spec = spec;
    this.lookups = client(CallSpecs.lookups(spec.name()));
    this.orders = client(CallSpecs.orders(spec.name(), spec.seed()));
  }

  /** Warms up, offers the work, waits for the last answers and reads the ledgers. */
  RunResult run() throws IOException {
    final EngineTotals before = EngineTotals.read(cluster);
    warmUp();
    final EngineTotals warm = EngineTotals.read(cluster);
    final long paidBefore = cluster.links().paidBytes();
    final long processorBefore = cluster.daemonProcessorMs();
    TrainerReport trained = offer();
    EngineTotals after = EngineTotals.read(cluster);
    return result(
        trained,
        new EngineTotals(after.tokens() - warm.tokens(), after.crashes() - before.crashes()),
        cluster.links().paidBytes() - paidBefore,
        cluster.daemonProcessorMs() - processorBefore);
  }

  @Override
  public void close() {
    pauses.close();
    vertx.close();
  }

  private CallClient client(CallSpec target) {
    return new CallClient(
        vertx, cluster.daemonUrls(), ClusterFiles.CALLER_TOKEN, target, spec.seed());
  }

  private void warmUp() {
    double rate = Math.min(0.5, spec.load()) * spec.capacityPerSecond();
    CompletableFuture<Void> over = arrivals(lookups, rate, WARM_UP_MS, false);
    arrivals(orders, Workload.ORDERS_PER_SECOND, WARM_UP_MS, false).join();
    over.join();
    pauses.pause(Duration.ofSeconds(1));
  }

  private TrainerReport offer() throws IOException {
    long durationMs = spec.seconds() * 1000L;
    double rate = spec.load() * spec.capacityPerSecond();
    try (FaultInjector faults = new FaultInjector(cluster, spec.fault())) {
      faults.schedule(durationMs);
      CompletableFuture<Void> over = arrivals(lookups, rate, durationMs, true);
      arrivals(orders, Workload.ORDERS_PER_SECOND, durationMs, true);
      TrainerReport trained = new TrainerStandin(trainerOptions(durationMs)).run();
      over.join();
      pauses.pause(LAST_ANSWERS);
      return trained;
    }
  }

  private CompletableFuture<Void> arrivals(
      CallClient client, double perSecond, long durationMs, boolean counted) {
    CompletableFuture<Void> over = new CompletableFuture<>();
    OpenLoopGenerator loop =
        new OpenLoopGenerator(vertx, perSecond, spec.seed(), due -> client.call(due, counted));
    vertx.runOnContext(ignored -> loop.start(durationMs, () -> over.complete(null)));
    return over;
  }

  private TrainerOptions trainerOptions(long durationMs) {
    return TrainerOptions.builder()
        .daemons(cluster.daemonUrls())
        .token(Optional.of(ClusterFiles.TRAINER_TOKEN))
        .workClass(Workload.TRAINING_CLASS)
        .model(Workload.MODEL)
        .engines(cluster.engines().stream().map(BackendProcess::url).toList())
        .steps(MANY_STEPS)
        .groups(Workload.STEP_GROUPS)
        .samplesPerGroup(Workload.SAMPLES_PER_GROUP)
        .maxTokens(Workload.SAMPLE_MAX_TOKENS)
        .trainMs(Workload.TRAIN_MS)
        .horizon(Workload.HORIZON)
        .stalenessBound(spec.user().stalenessBound())
        .timeLimitMs(durationMs)
        .build();
  }

  private RunResult result(
      TrainerReport trained, EngineTotals engines, long paidBytes, long processorMs)
      throws IOException {
    CallStats calls = lookups.stats();
    CallStats ordered = orders.stats();
    OrderAudit judged = OrderAudit.read(cluster, spec.name(), ordered.refused());
    long useful = trained.tokens() + calls.tokens();
    return new RunResult(
        spec.user().label(),
        spec.policy().label(),
        spec.load(),
        spec.fault().label(),
        spec.seed(),
        spec.seconds(),
        rounded(spec.capacityPerSecond()),
        rounded(trained.idleShare()),
        trained.steps(),
        trained.delivered(),
        trained.doubled(),
        trained.lost(),
        trained.broken(),
        trained.mislabelled(),
        trained.tooOld(),
        trained.stalenessMedian(),
        trained.stalenessP99(),
        trained.stalenessMax(),
        trained.stepWaitMedianMs(),
        trained.stepWaitMaxMs(),
        trained.stepMedianMs(),
        trained.stepMaxMs(),
        share(trained.tokens(), trained.delivered()),
        calls.offered(),
        share(calls.inTime(), calls.offered()),
        rounded((double) calls.inTime() / spec.seconds()),
        rounded(calls.latencyMs(50)),
        rounded(calls.latencyMs(99)),
        calls.wrong(),
        calls.codes(),
        rounded(calls.refusalMs(99)),
        rounded(calls.refusalMs(100)),
        ordered.offered(),
        share(ordered.inTime(), ordered.offered()),
        ordered.codes(),
        judged.doubled(),
        judged.notRunThatRan(),
        share(engines.tokens() - useful, engines.tokens()),
        engines.crashes(),
        paidBytes / BYTES_PER_KB,
        processorMs);
  }

  private static double share(long part, long whole) {
    return whole == 0 ? 0 : rounded((double) part / whole);
  }

  private static double rounded(double value) {
    return Math.round(value * 1000) / 1000.0;
  }
}
