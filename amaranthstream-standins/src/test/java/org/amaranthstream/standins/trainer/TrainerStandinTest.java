package org.amaranthstream.standins.trainer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.amaranthstream.standins.engine.EngineStandin;
import org.amaranthstream.standins.server.CrashMode;
import org.amaranthstream.standins.server.StandinServer;
import org.amaranthstream.standins.trainer.FakeDaemon.Defect;
import org.junit.jupiter.api.Test;

final class TrainerStandinTest {
  private static final int SLOTS = 8;

  @Test
  void findsNoViolationsInValidSamples() {
    TrainerReport report = train(Defect.NONE, List.of());
    assertThat(report.delivered()).isEqualTo(SLOTS);
    assertThat(report.hasNoViolations()).isTrue();
  }

  @Test
  void countsDuplicateSamples() {
    assertThat(train(Defect.DUPLICATE, List.of()).doubled()).isEqualTo(1);
  }

  @Test
  void countsMissingSamples() {
    assertThat(train(Defect.MISSING, List.of()).lost()).isEqualTo(1);
  }

  @Test
  void countsCorruptSamples() {
    assertThat(train(Defect.CORRUPT, List.of()).broken()).isEqualTo(1);
  }

  @Test
  void countsSamplesAboveTheStalenessBound() {
    TrainerReport report = train(Defect.STALE, List.of());
    assertThat(report.tooOld()).isEqualTo(1);
    assertThat(report.stalenessMax()).isEqualTo(9);
  }

  @Test
  void countsSamplesWithVersionsThatNoEngineGenerated() {
    try (EngineStandin engine = EngineStandin.builder().start()) {
      assertThat(train(Defect.NONE, List.of(engine.url())).mislabelled()).isEqualTo(SLOTS);
    }
  }

  private static TrainerReport train(Defect defect, List<String> engines) {
    FakeDaemon role = new FakeDaemon(defect);
    try (StandinServer daemon = StandinServer.start(role, "127.0.0.1", 0, CrashMode.CLOSE)) {
      TrainerOptions options =
          TrainerOptions.builder()
              .daemons(List.of(daemon.url()))
              .engines(engines)
              .steps(1)
              .groups(2)
              .samplesPerGroup(SLOTS / 2)
              .trainMs(1)
              .horizon(0)
              .firstVersion(10)
              .build();
      return new TrainerStandin(options).run();
    }
  }
}
