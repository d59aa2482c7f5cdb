package org.amaranthstream.config;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import org.amaranthstream.docs.DocTable;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.result.Result;
import org.junit.jupiter.api.Test;

class ConfigurationPageTest {
  @Test
  void documentsEveryKeyAndNoOther() throws IOException {
    Set<String> keys = new TreeSet<>();
    String example = Files.readString(Path.of("../docs/examples/config.yaml"));
    assertThat(ConfigCodec.decode("c", example, ConfigGeneration.of(1), keys::add))
        .isInstanceOf(Result.Success.class);
    assertThat(DocTable.rows("CONFIGURATION.md").stream().map(row -> row.get(0)).toList())
        .containsExactlyElementsIn(keys);
  }
}
