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

/** A training run and interactive calls through one daemon, with a summary on the terminal. */
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

  /** Runs the demo and returns its exit status: 0 if every promise that it checks held. */
  int run() {
    System.out.println("Starting 3 model engines, 1 plain service, the platform and a daemon ...");
    try (DemoFleet fleet = DemoFleet.start()) {
      DemoCalls client = new DemoCalls(fleet.url());
      client.putConfig(DemoConfig.yaml());
      System.out.println("Configuration accepted; training " + steps + " steps, with calls ...");
      ExecutorService trainerThread = Executors.newSingleThreadExecutor();
      CompletableFuture<TrainerReport> training =
          CompletableFuture.supplyAsync(new TrainerStandin(options(fleet))::run, trainerThread);
      int inTime = makeCalls(client);
      TrainerReport report = training.join();
      trainerThread.shutdown();
      System.out.println(client.admin("/v1/admin/status"));
      return summarise(report, inTime);
    }
  }

  private TrainerOptions options(DemoFleet fleet) {
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

  private int makeCalls(DemoCalls client) {
    int inTime = 0;
    for (int i = 0; i < calls; i++) {
      boolean answered = i % 2 == 0 ? client.lookup(i) : client.quote(i);
      inTime += answered ? 1 : 0;
    }
    System.out.println(inTime + " of " + calls + " calls answered in time");
    return inTime;
  }

  private int summarise(TrainerReport report, int inTime) {
    System.out.println(report.summaryLine());
    System.out.printf(
        Locale.ROOT,
        "samples_delivered=%d samples_doubled=%d trainer_idle_share=%.3f staleness_max=%d"
            + " calls_in_time=%d calls=%d%n",
        report.delivered(),
        report.doubled(),
        report.idleShare(),
        report.stalenessMax(),
        inTime,
        calls);
    long expected = (long) steps * GROUPS * SAMPLES_PER_GROUP;
    boolean whole = report.delivered() == expected && report.hasNoViolations();
    return whole && inTime == calls ? 0 : 1;
  }
}
