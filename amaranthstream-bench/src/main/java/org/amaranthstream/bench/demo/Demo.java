package org.amaranthstream.bench.demo;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.amaranthstream.standins.trainer.TrainerOptions;
import org.amaranthstream.standins.trainer.TrainerReport;
import org.amaranthstream.standins.trainer.TrainerStandin;

/** Training run and interactive calls through one daemon, with a summary on standard output. */
final class Demo {
  private static final int GROUPS = 16;
  private static final int SAMPLES_PER_GROUP = 8;
  private static final int TRAIN_MS = 300;
  private static final int TIME_LIMIT_MS = 45_000;

  private final int steps;
  private final int calls;

  Demo(int steps, int calls) {
    this.steps = steps;
    this.calls = calls;
  }

  /**
   * Runs the demo and returns its exit status: 0 if each sample was delivered without a violation
   * and each call was answered in time, otherwise 1.
   */
  int run() {
    System.out.println("Starting 3 model engines, 1 plain service, the platform and a daemon ...");
    try (DemoFleet fleet = DemoFleet.start()) {
      DemoClient client = new DemoClient(fleet.url());
      client.putConfig(DemoConfig.yaml());
      System.out.println("Configuration accepted; training " + steps + " steps, with calls ...");
      ExecutorService trainerThread = Executors.newSingleThreadExecutor();
      CompletableFuture<TrainerReport> training =
          CompletableFuture.supplyAsync(
              new TrainerStandin(trainerOptions(fleet))::run, trainerThread);
      int callsInTime = makeCalls(client);
      TrainerReport report = training.join();
      trainerThread.shutdown();
      System.out.println(client.getAsOperator("/v1/admin/status"));
      return printSummary(report, callsInTime);
    }
  }

  private TrainerOptions trainerOptions(DemoFleet fleet) {
    return TrainerOptions.builder()
        .daemons(List.of(fleet.url()))
        .token(Optional.of(DemoFleet.TRAINER_TOKEN))
        .trainer("coder")
        .workClass("practice")
        .model("coder")
        .engines(fleet.engineUrls())
        .steps(steps)
        .groups(GROUPS)
        .samplesPerGroup(SAMPLES_PER_GROUP)
        .maxTokens(DemoConfig.MAX_TOKENS)
        .trainMs(TRAIN_MS)
        .horizon(2)
        .stalenessBound(DemoConfig.STALENESS_BOUND)
        .timeLimitMs(TIME_LIMIT_MS)
        .build();
  }

  private int makeCalls(DemoClient client) {
    int callsInTime = 0;
    for (int i = 0; i < calls; i++) {
      boolean answeredInTime = i % 2 == 0 ? client.lookup(i) : client.quote(i);
      callsInTime += answeredInTime ? 1 : 0;
    }
    System.out.println(callsInTime + " of " + calls + " calls answered in time");
    return callsInTime;
  }

  private int printSummary(TrainerReport report, int callsInTime) {
    System.out.println(report.summaryLine());
    System.out.printf(
        Locale.ROOT,
        "samples_delivered=%d samples_doubled=%d trainer_idle_share=%.3f staleness_max=%d"
            + " calls_in_time=%d calls=%d%n",
        report.delivered(),
        report.doubled(),
        report.idleShare(),
        report.stalenessMax(),
        callsInTime,
        calls);
    long expectedSamples = (long) steps * GROUPS * SAMPLES_PER_GROUP;
    boolean complete = report.delivered() == expectedSamples && report.hasNoViolations();
    return complete && callsInTime == calls ? 0 : 1;
  }
}
