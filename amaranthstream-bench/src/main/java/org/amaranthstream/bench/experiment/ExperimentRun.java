package org.amaranthstream.bench.experiment;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.standins.server.BlockingHttpClient;
import org.amaranthstream.standins.trainer.TrainerOptions;
import org.amaranthstream.standins.trainer.TrainerReport;
import org.amaranthstream.standins.trainer.TrainerStandin;

/** One run of an experiment: load on a cluster and its measurement. Confined to one thread. */
final class ExperimentRun implements AutoCloseable {
  private static final int WARM_UP_MS = 4_000;

  /** More steps than a run completes, so that the time limit ends the trainer. */
  private static final int MAX_STEPS = 10_000;

  private static final Duration LAST_RESPONSES_WAIT = Duration.ofSeconds(4);
  private static final int BYTES_PER_KB = 1024;

  private final Cluster cluster;
  private final RunSpec spec;
  private final Vertx vertx = Vertx.vertx();
  private final BlockingHttpClient sleeper = new BlockingHttpClient(Optional.empty());
  private final CallClient lookups;
  private final CallClient orders;

  ExperimentRun(Cluster cluster, RunSpec spec) {
    this.cluster = cluster;
    this.spec = spec;
    this.lookups = client(CallSpecs.lookups(spec.name()));
    this.orders = client(CallSpecs.orders(spec.name(), spec.seed()));
  }

  /** Warms up, offers the load, waits for the last responses and reads the ledgers. */
  RunResult run() throws IOException {
    final EngineTotals before = EngineTotals.read(cluster);
    warmUp();
    final EngineTotals afterWarmUp = EngineTotals.read(cluster);
    final long paidBytesBefore = cluster.links().paidBytes();
    final long processorMsBefore = cluster.daemonProcessorMs();
    TrainerReport trainerReport = offerLoad();
    EngineTotals after = EngineTotals.read(cluster);
    return result(
        trainerReport,
        new EngineTotals(after.tokens() - afterWarmUp.tokens(), after.crashes() - before.crashes()),
        cluster.links().paidBytes() - paidBytesBefore,
        cluster.daemonProcessorMs() - processorMsBefore);
  }

  @Override
  public void close() {
    sleeper.close();
    vertx.close();
  }

  private CallClient client(CallSpec callSpec) {
    return new CallClient(
        vertx, cluster.daemonUrls(), ClusterFiles.CALLER_TOKEN, callSpec, spec.seed());
  }

  private void warmUp() {
    double rate = Math.min(0.5, spec.load()) * spec.capacityPerSecond();
    CompletableFuture<Void> finished = startArrivals(lookups, rate, WARM_UP_MS, false);
    startArrivals(orders, Workload.ORDERS_PER_SECOND, WARM_UP_MS, false).join();
    finished.join();
    sleeper.pause(Duration.ofSeconds(1));
  }

  private TrainerReport offerLoad() throws IOException {
    long durationMs = spec.seconds() * 1000L;
    double rate = spec.load() * spec.capacityPerSecond();
    try (FaultInjector faults = new FaultInjector(cluster, spec.fault())) {
      faults.schedule(durationMs);
      CompletableFuture<Void> finished = startArrivals(lookups, rate, durationMs, true);
      startArrivals(orders, Workload.ORDERS_PER_SECOND, durationMs, true);
      TrainerReport trainerReport = new TrainerStandin(trainerOptions(durationMs)).run();
      finished.join();
      sleeper.pause(LAST_RESPONSES_WAIT);
      return trainerReport;
    }
  }

  private CompletableFuture<Void> startArrivals(
      CallClient client, double perSecond, long durationMs, boolean counted) {
    CompletableFuture<Void> finished = new CompletableFuture<>();
    OpenLoopGenerator generator =
        new OpenLoopGenerator(
            vertx, perSecond, spec.seed(), dueNanos -> client.call(dueNanos, counted));
    vertx.runOnContext(ignored -> generator.start(durationMs, () -> finished.complete(null)));
    return finished;
  }

  private TrainerOptions trainerOptions(long durationMs) {
    return TrainerOptions.builder()
        .daemons(cluster.daemonUrls())
        .token(Optional.of(ClusterFiles.TRAINER_TOKEN))
        .workClass(Workload.TRAINING_CLASS)
        .model(Workload.MODEL)
        .engines(cluster.engines().stream().map(BackendProcess::url).toList())
        .steps(MAX_STEPS)
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
      TrainerReport trainerReport, EngineTotals engines, long paidBytes, long processorMs)
      throws IOException {
    CallStats calls = lookups.stats();
    CallStats ordered = orders.stats();
    OrderAudit audit = OrderAudit.read(cluster, spec.name(), ordered.rejected());
    long deliveredTokens = trainerReport.tokens() + calls.tokens();
    return new RunResult(
        spec.user().label(),
        spec.policy().label(),
        spec.load(),
        spec.fault().label(),
        spec.seed(),
        spec.seconds(),
        rounded(spec.capacityPerSecond()),
        rounded(trainerReport.idleShare()),
        trainerReport.steps(),
        trainerReport.delivered(),
        trainerReport.doubled(),
        trainerReport.lost(),
        trainerReport.broken(),
        trainerReport.mislabelled(),
        trainerReport.tooOld(),
        trainerReport.stalenessMedian(),
        trainerReport.stalenessP99(),
        trainerReport.stalenessMax(),
        trainerReport.stepWaitMedianMs(),
        trainerReport.stepWaitMaxMs(),
        trainerReport.stepMedianMs(),
        trainerReport.stepMaxMs(),
        share(trainerReport.tokens(), trainerReport.delivered()),
        calls.offered(),
        share(calls.inTime(), calls.offered()),
        rounded((double) calls.inTime() / spec.seconds()),
        rounded(calls.latencyMs(50)),
        rounded(calls.latencyMs(99)),
        calls.wrong(),
        calls.errorCounts(),
        rounded(calls.rejectionMs(99)),
        rounded(calls.rejectionMs(100)),
        ordered.offered(),
        share(ordered.inTime(), ordered.offered()),
        ordered.errorCounts(),
        audit.doubled(),
        audit.notRunThatRan(),
        share(engines.tokens() - deliveredTokens, engines.tokens()),
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
