package org.amaranthstream.settings;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.amaranthstream.docs.DocTable;
import org.amaranthstream.result.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks that {@code docs/SETTINGS.md} lists all keys with their ranges and defaults. */
class SettingsPageTest {
  @TempDir private Path folder;

  private Set<String> readKeys() throws IOException {
    for (String file : List.of("peer.key", "delivery.key", "operator.token")) {
      Files.writeString(folder.resolve(file), "s".repeat(32));
    }
    Files.createDirectory(folder.resolve("data"));
    String example = Files.readString(Path.of("../docs/examples/settings.yaml"));
    String tls =
        example.replace(
            "  sharedKeyFile: peer.key",
            "  tls:\n    certificateFile: peer.key\n    privateKeyFile: peer.key\n"
                + "    trustFile: peer.key");
    Set<String> keys = new TreeSet<>();
    for (String yaml : List.of(example, tls)) {
      assertThat(SettingsLoader.parse("s", yaml, folder, keys::add))
          .isInstanceOf(Result.Success.class);
    }
    return keys;
  }

  private static List<String> row(String key) {
    return DocTable.rows("SETTINGS.md").stream()
        .filter(row -> row.get(0).equals(key))
        .findFirst()
        .orElseThrow();
  }

  @Test
  void listsExactlyTheKeysThatTheLoaderReads() throws IOException {
    assertThat(DocTable.rows("SETTINGS.md").stream().map(row -> row.get(0)).toList())
        .containsExactlyElementsIn(readKeys());
  }

  @Test
  void statesRangesAndDefaultsOfLimits() {
    for (LimitKey key : LimitKey.values()) {
      List<String> row = row("limits." + key.key());
      assertThat(row.get(2)).startsWith(key.min() + " to " + key.max());
      assertThat(row.get(2).endsWith("a power of two")).isEqualTo(key.isPowerOfTwo());
      assertThat(row.get(3)).isEqualTo(String.valueOf(key.defaultValue()));
    }
  }

  @Test
  void statesRangesAndDefaultsOfTimes() {
    for (TimingKey key : TimingKey.values()) {
      List<String> row = row("timing." + key.key());
      assertThat(row.get(2)).isEqualTo(key.minMillis() + " to " + key.maxMillis());
      assertThat(row.get(3)).isEqualTo(String.valueOf(key.defaultMillis()));
    }
  }
}
