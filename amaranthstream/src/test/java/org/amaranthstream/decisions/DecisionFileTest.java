package org.amaranthstream.decisions;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RequestId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DecisionFileTest {
  @TempDir Path folder;

  private static DecisionRecord record(long sequence) {
    return new DecisionRecord(
        RequestId.of(EntryVmId.of("vm"), Incarnation.of("i"), sequence),
        DecisionKind.PLACE,
        "e1",
        "load \"1\"",
        5);
  }

  @Test
  void writesOneLineForEachRecord() throws IOException {
    try (DecisionFile file = DecisionFile.in(folder, 10_000)) {
      file.accept(record(1));
    }

    assertThat(Files.readString(folder.resolve("decisions.jsonl")))
        .isEqualTo(
            "{\"request\":\"vm/i/1\",\"kind\":\"PLACE\",\"choice\":\"e1\","
                + "\"reason\":\"load \\\"1\\\"\",\"atNanos\":5}\n");
  }

  @Test
  void staysWithinTwiceItsSize() throws IOException {
    try (DecisionFile file = DecisionFile.in(folder, 300)) {
      for (int i = 0; i < 100; i++) {
        file.accept(record(i));
      }
    }

    assertThat(Files.size(folder.resolve("decisions.jsonl"))).isAtMost(300);
    assertThat(Files.size(folder.resolve("decisions.1.jsonl"))).isAtMost(300);
    assertThat(Files.readString(folder.resolve("decisions.jsonl"))).contains("vm/i/99");
  }

  @Test
  void countsRecordsThatItCannotWrite() throws IOException {
    try (DecisionFile file = DecisionFile.in(folder.resolve("missing"), 300)) {
      file.accept(record(1));

      assertThat(file.failureCount()).isEqualTo(1);
    }
  }
}
