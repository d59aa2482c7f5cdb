package org.amaranthstream.bench.embedded;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.bench.Polling;
import org.amaranthstream.standins.engine.EngineStandin;
import org.amaranthstream.standins.trainer.TrainerOptions;
import org.amaranthstream.standins.trainer.TrainerReport;
import org.amaranthstream.standins.trainer.TrainerStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StepsTest {
  private static final int STEPS = 3;
  private static final int GROUPS = 8;
  private static final int SAMPLES_PER_GROUP = 4;

  private EmbeddedFleet fleet;

  @BeforeEach
  void startFleet() {
    fleet = EmbeddedFleet.start(3, 2);
  }

  @AfterEach
  void closeFleet() {
    fleet.close();
  }

  @Nested
  class WithoutFaults {
    @Test
    void samplesAreDeliveredExactlyOnceThroughTwoEntryVms() {
      assertExactlyOnce(newTrainer().run());
    }
  }

  @Nested
  class EntryVmLoss {
    @Test
    void samplesAreDeliveredExactlyOnceWhenTheFirstIsKilledDuringGeneration() {
      assertExactlyOnceAfterLossOf(0);
    }

    @Test
    void samplesAreDeliveredExactlyOnceWhenTheSecondIsKilledDuringGeneration() {
      assertExactlyOnceAfterLossOf(1);
    }

    private void assertExactlyOnceAfterLossOf(int daemon) {
      CompletableFuture<TrainerReport> report = CompletableFuture.supplyAsync(newTrainer()::run);
      Polling.until("started sample", () -> FleetLedger.runs(fleet.engines.get(0), "") > 4);
      fleet.daemons.get(daemon).close();
      assertExactlyOnce(report.join());
    }
  }

  @Nested
  class EngineFaults {
    @Test
    void engineCrashLosesAndDuplicatesNoSample() {
      CompletableFuture<TrainerReport> report = CompletableFuture.supplyAsync(newTrainer()::run);
      Polling.until("started sample", () -> FleetLedger.runs(fleet.engines.get(0), "") > 4);
      fleet.engines.get(0).control("{\"restartAfterMs\": 300, \"crash\": true}");
      assertExactlyOnce(report.join());
    }

    @Test
    void samplesOfDamagedStreamsAreNotDelivered() {
      for (EngineStandin engine : fleet.engines) {
        engine.control(
            "{\"truncateNext\": 3, \"wrongEchoNext\": 3, \"omitVersionNext\": 3,"
                + " \"duplicateNext\": 3, \"lateNext\": 3}");
      }
      assertExactlyOnce(newTrainer().run());
    }
  }

  @Nested
  class PlatformFaults {
    @Test
    void storeOutageDoesNotStopSteps() {
      fleet.kv.control("{\"outage\": true}");
      assertExactlyOnce(newTrainer().run());
    }
  }

  private TrainerStandin newTrainer() {
    List<String> urls = new ArrayList<>();
    fleet.daemons.forEach(daemon -> urls.add(EmbeddedFleet.url(daemon)));
    return new TrainerStandin(
        TrainerOptions.builder()
            .daemons(urls)
            .token(Optional.of(EmbeddedFleet.TRAINER_TOKEN))
            .trainer("coder")
            .workClass("practice")
            .model("coder")
            .engines(fleet.engines.stream().map(EngineStandin::url).toList())
            .steps(STEPS)
            .groups(GROUPS)
            .samplesPerGroup(SAMPLES_PER_GROUP)
            .maxTokens(32)
            .trainMs(100)
            .horizon(1)
            .stalenessBound(9)
            .timeLimitMs(120_000)
            .build());
  }

  private static void assertExactlyOnce(TrainerReport report) {
    assertThat(report.delivered()).isEqualTo(STEPS * GROUPS * SAMPLES_PER_GROUP);
    assertThat(report.doubled()).isEqualTo(0);
    assertThat(report.lost()).isEqualTo(0);
    assertThat(report.broken()).isEqualTo(0);
    assertThat(report.mislabelled()).isEqualTo(0);
    assertThat(report.tooOld()).isEqualTo(0);
  }
}
