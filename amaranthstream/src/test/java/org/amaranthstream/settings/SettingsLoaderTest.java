package org.amaranthstream.settings;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.amaranthstream.auth.Role;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;

/** Checks the loading of the example settings, the error messages and the state dump. */
class SettingsLoaderTest {
  private static final Path EXAMPLE = Path.of("../docs/examples/settings.yaml");

  @TempDir private Path folder;
  private String example;

  @BeforeEach
  void writeFiles() throws IOException {
    example = Files.readString(EXAMPLE);
    Files.writeString(folder.resolve("peer.key"), "p".repeat(32));
    Files.writeString(folder.resolve("delivery.key"), "d".repeat(32) + "\n");
    Files.writeString(folder.resolve("operator.token"), "operator-token-0001\n");
    Files.createDirectory(folder.resolve("data"));
  }

  @Nested
  class Load {
    @Test
    void readsTheExample() throws IOException {
      Path file = Files.writeString(folder.resolve("settings.yaml"), example);
      Settings settings = value(SettingsLoader.load(file));
      assertThat(settings.vm().value()).isEqualTo("lisboa-a-1");
      assertThat(settings.peers()).hasSize(1);
      assertThat(settings.callers().get(2).role()).isEqualTo(Role.OPERATOR);
      assertThat(settings.timing().heartbeatInterval()).isEqualTo(Duration.ofSeconds(1));
      assertThat(settings.limits().bodyBytes()).isEqualTo(1_048_576);
      assertThat(settings.dataFolder()).isPresent();
    }

    @Test
    void reportsMissingFile() {
      assertThat(message(SettingsLoader.load(folder.resolve("none.yaml"))))
          .contains("none.yaml:1: key (document): found no such file, expected a YAML file");
    }

    @Test
    void rejectsBytesThatAreNotUtf8() throws IOException {
      Path file = Files.write(folder.resolve("a.yaml"), new byte[] {(byte) 0xff, (byte) 0xfe});
      assertThat(message(SettingsLoader.load(file))).contains("not UTF-8 text");
    }
  }

  @Nested
  class Errors {
    @ParameterizedTest
    @CsvFileSource(
        resources = "/settings/errors.txt",
        delimiter = '|',
        quoteCharacter = '`',
        numLinesToSkip = 1,
        ignoreLeadingAndTrailingWhitespace = false)
    void reportsLineKeyFoundAndExpected(String before, String after, String expected) {
      int start = example.indexOf(before);
      assertThat(start).isAtLeast(0);
      String invalid =
          example.substring(0, start) + after + example.substring(start + before.length());
      assertThat(message(SettingsLoader.parse("s", invalid, folder))).startsWith(expected);
    }

    @Test
    void rejectsSettingsWithoutDeliveryKey() {
      String invalid =
          example
              .replace("  - id: \"2026-12\"\n    file: delivery.key\n", "")
              .replace("deliveryKeys:", "deliveryKeys: []");
      assertThat(message(SettingsLoader.parse("s", invalid, folder)))
          .startsWith("s:37: key deliveryKeys: found a list of 0, expected at least one key");
    }

    @Test
    void rejectsKeyWithoutValue() {
      assertThat(message(SettingsLoader.parse("s", "vm:\n", folder)))
          .isEqualTo(
              "s:1: key vm: found nothing, expected text (in quotes if it looks like a number)");
    }
  }

  @Nested
  class Dump {
    @Test
    void containsNoSecret() {
      Settings settings = value(SettingsLoader.parse("s", example, folder));
      String dump = SettingsDump.of(settings).toString();
      assertThat(dump).contains("\"zone\":\"lisboa-a\"");
      assertThat(dump).doesNotContain("token-0");
      assertThat(dump).doesNotContain("pppp");
      assertThat(dump).doesNotContain("dddd");
      assertThat(settings.callers().toString()).doesNotContain("token-0");
    }
  }

  @Nested
  class DeliveryKeys {
    @Test
    void keepTheirOrderForRotation() {
      String twoKeys =
          example.replace(
              "    file: delivery.key",
              "    file: delivery.key\n  - id: old\n    key: " + "k".repeat(32));
      Settings settings = value(SettingsLoader.parse("s", twoKeys, folder));
      assertThat(settings.deliveryKeys().get(0).id()).isEqualTo("2026-12");
      assertThat(settings.deliveryKeys().get(1).key().bytes())
          .isEqualTo("k".repeat(32).getBytes(StandardCharsets.UTF_8));
    }
  }

  private static Settings value(Result<Settings> result) {
    assertThat(result).isInstanceOf(Result.Success.class);
    return ((Result.Success<Settings>) result).value();
  }

  private static String message(Result<Settings> result) {
    assertThat(result).isInstanceOf(Result.Failure.class);
    Result.Failure<Settings> failure = (Result.Failure<Settings>) result;
    assertThat(failure.error().code()).isEqualTo(ResultCode.INVALID_SETTINGS);
    return failure.error().message();
  }
}
