package org.amaranthstream.bench.experiment;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.bench.Polling;
import org.amaranthstream.standins.server.BlockingHttpClient;
import org.amaranthstream.standins.server.HttpResponse;
import org.amaranthstream.standins.trainer.TrainerOptions;
import org.amaranthstream.standins.trainer.TrainerReport;
import org.amaranthstream.standins.trainer.TrainerStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests two daemons and the stand-ins in separate processes with operating-system signals. */
class SeparateProcessesTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final int STEPS = 2;
  private static final int GROUPS = 8;
  private static final int SAMPLES_PER_GROUP = 4;

  @TempDir private Path folder;
  private Cluster cluster;
  private BlockingHttpClient caller;

  @BeforeEach
  void startProcesses() throws IOException {
    cluster = Cluster.startBackends(User.PAIR, folder);
    cluster.startDaemons(Policy.AMARANTHSTREAM);
    caller = new BlockingHttpClient(Optional.of(ClusterFiles.CALLER_TOKEN));
    Polling.until("served call", () -> lookup(0, 1).status() == 200);
    Polling.until("served call", () -> lookup(1, 1).status() == 200);
  }

  @AfterEach
  void killProcesses() {
    caller.close();
    cluster.close();
  }

  @Nested
  class Serving {
    @Test
    void servesOneCallAndOneStep() {
      assertThat(lookup(0, Workload.LOOKUP_MAX_TOKENS).status()).isEqualTo(200);
      assertAllSamplesDeliveredOnce(newTrainer().run());
    }
  }

  @Nested
  class Kill {
    @Test
    void ofOneEntryVmInMidStepLosesAndDuplicatesNoSample() {
      CompletableFuture<TrainerReport> report = CompletableFuture.supplyAsync(newTrainer()::run);
      Polling.until("started sample", () -> countRuns() > 6);
      cluster.daemonProcess(0).close();
      assertAllSamplesDeliveredOnce(report.join());
    }
  }

  @Nested
  class Pause {
    @Test
    void ofAnEntryVmAndItsResumptionLosesAndDuplicatesNoSample() throws IOException {
      CompletableFuture<TrainerReport> report = CompletableFuture.supplyAsync(newTrainer()::run);
      Polling.until("started sample", () -> countRuns() > 6);
      cluster.daemonProcess(1).signal("STOP");
      TrainerReport trainerReport = report.join();
      cluster.daemonProcess(1).signal("CONT");
      assertAllSamplesDeliveredOnce(trainerReport);
      Polling.until("served call after the pause", () -> lookup(1, 1).status() == 200);
    }
  }

  @Nested
  class Terminate {
    @Test
    void finishesTheCallInFlightAndExitsWithoutError() throws IOException {
      for (BackendProcess engine : cluster.engines()) {
        cluster.control(engine.url(), "{\"slowFactor\": 20}");
      }
      long before = countRuns();
      CompletableFuture<HttpResponse> call =
          CompletableFuture.supplyAsync(() -> lookup(0, Workload.LOOKUP_MAX_TOKENS));
      Polling.until("running call", () -> countRuns() > before || call.isDone());
      cluster.daemonProcess(0).terminate();
      assertThat(call.join().status()).isEqualTo(200);
      int sigterm = 128 + 15;
      assertThat(cluster.daemonProcess(0).awaitExit(TIMEOUT)).isAnyOf(0, sigterm);
      String log = Files.readString(folder.resolve("entry-zone-a-0.log"));
      assertThat(log).containsMatch("event=shutdown_begun [^\\n]*\\n(.*\\n)*.*event=shutdown_done");
    }
  }

  private long countRuns() {
    try {
      long runs = 0;
      for (BackendProcess engine : cluster.engines()) {
        runs += cluster.ledger(engine.url()).counters().getOrDefault("runs", 0L);
      }
      return runs;
    } catch (IOException e) {
      throw new AssertionError("failed to read an engine ledger", e);
    }
  }

  private HttpResponse lookup(int daemon, int tokens) {
    String body = "{\"prompt\": \"item\", \"maxTokens\": " + tokens + "}";
    String url =
        cluster.daemonUrls().get(daemon) + "/v1/classes/" + Workload.LOOKUP_CLASS + "/calls";
    try {
      return caller.call(HttpMethod.POST, url, body, TIMEOUT, Map.of());
    } catch (IOException e) {
      throw new AssertionError("no response from " + url, e);
    }
  }

  private TrainerStandin newTrainer() {
    return new TrainerStandin(
        TrainerOptions.builder()
            .daemons(cluster.daemonUrls())
            .token(Optional.of(ClusterFiles.TRAINER_TOKEN))
            .trainer("trainer")
            .workClass(Workload.TRAINING_CLASS)
            .model(Workload.MODEL)
            .engines(cluster.engines().stream().map(BackendProcess::url).toList())
            .steps(STEPS)
            .groups(GROUPS)
            .samplesPerGroup(SAMPLES_PER_GROUP)
            .maxTokens(Workload.SAMPLE_MAX_TOKENS)
            .trainMs(100)
            .horizon(1)
            .stalenessBound(User.PAIR.stalenessBound())
            .timeLimitMs(TIMEOUT.toMillis())
            .build());
  }

  private static void assertAllSamplesDeliveredOnce(TrainerReport report) {
    assertThat(report.delivered()).isEqualTo(STEPS * GROUPS * SAMPLES_PER_GROUP);
    assertThat(report.hasNoViolations()).isTrue();
    assertThat(report.mislabelled()).isEqualTo(0);
  }
}
