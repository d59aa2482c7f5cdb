package org.amaranthstream.bench.experiment;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.amaranthstream.standins.server.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class ResultFilesTest {
  private static final String RESULT_LINE =
      """
      {"user": "division", "policy": "%s", "load": %s, "fault": "%s", "seed": 1,
       "trainer_idle_share": %s, "samples_doubled": 2, "samples_mislabelled": -1}
      """;

  @TempDir Path folder;

  @Test
  void tableHasOneRowPerPolicyOverAllSeeds() throws IOException {
    String table =
        ResultTable.of(
            List.of(
                result("amaranthstream", 0.5, "none", 0.1),
                result("amaranthstream", 0.5, "none", 0.2),
                result("baseline", 0.5, "none", 0.4)));
    assertThat(table).contains("| 0.5 | none | amaranthstream | 2 | 0.100 (0.100 to 0.200) |");
    assertThat(table).contains("| 0.5 | none | baseline | 1 | 0.400 |");
  }

  @Test
  void invariantViolationsAreSummed() throws IOException {
    assertThat(ResultTable.countInvariantViolations(result("baseline", 0.5, "none", 0)))
        .isEqualTo(2);
  }

  @Test
  void plotIsWrittenForRunsWithoutFaults() throws IOException {
    Path file = folder.resolve("idle.svg");
    List<RunResult> results =
        List.of(
            result("baseline", 0.5, "none", 0.3),
            result("baseline", 0.9, "none", 0.4),
            result("baseline", 0.9, "poison", 0.9));
    ResultPlot.write(results, "idle", RunResult::trainerIdleShare, file);
    assertThat(Files.readString(file)).contains("<svg");
  }

  @Test
  void noPlotIsWrittenIfAllRunsHaveFaults() throws IOException {
    Path file = folder.resolve("idle.svg");
    ResultPlot.write(
        List.of(result("baseline", 0.9, "poison", 0.9)), "idle", RunResult::steps, file);
    assertThat(Files.exists(file)).isFalse();
  }

  private static RunResult result(String policy, double load, String fault, double idle)
      throws IOException {
    return Json.read(
        Buffer.buffer(RESULT_LINE.formatted(policy, load, fault, idle)), RunResult.class);
  }
}
