package org.amaranthstream.yaml;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.amaranthstream.config.ConfigCodec;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.result.Result;
import org.amaranthstream.settings.SettingsLoader;

/**
 * Checks that the loaders return a value or one error with a line for any input, and never throw.
 */
class YamlFuzzTest {
  private static final Path EXAMPLES = Path.of("../docs/examples");
  private static final String ERROR_FORMAT = "(?s)f:[1-9][0-9]*: key .+: found .+, expected .+";

  @Property(seed = "20261203", tries = 2_000)
  void settingsLoaderNeverThrows(@ForAll("settings") String text) {
    check(SettingsLoader.parse("f", text, Path.of("none")));
  }

  @Property(seed = "20261203", tries = 2_000)
  void configurationDecoderNeverThrows(@ForAll("configurations") String text) {
    check(ConfigCodec.decode("f", text, ConfigGeneration.of(1)));
  }

  private static void check(Result<?> result) {
    if (result instanceof Result.Failure<?> failure) {
      assertThat(failure.error().message()).matches(ERROR_FORMAT);
    }
  }

  @Provide
  Arbitrary<String> settings() throws IOException {
    return mutated(Files.readString(EXAMPLES.resolve("settings.yaml")));
  }

  @Provide
  Arbitrary<String> configurations() throws IOException {
    return mutated(Files.readString(EXAMPLES.resolve("config.yaml")));
  }

  private static Arbitrary<String> mutated(String example) {
    Arbitrary<String> noise =
        Arbitraries.oneOf(
            Arbitraries.strings().ofMaxLength(6),
            Arbitraries.strings().withChars("{}[]:,-&*!|>'\"#%@`? \n\t\\0a").ofMaxLength(8),
            Arbitraries.of("<<: *a", "!!binary x", "---\n", "...\n", "\uFEFF", "[".repeat(99)));
    Arbitrary<Integer> positions = Arbitraries.integers().between(0, example.length());
    Arbitrary<String> spliced =
        Combinators.combine(positions, positions, noise)
            .as(
                (from, to, text) ->
                    example.substring(0, Math.min(from, to))
                        + text
                        + example.substring(Math.max(from, to)));
    Arbitrary<String> inserted =
        Combinators.combine(positions, noise)
            .as((at, text) -> example.substring(0, at) + text + example.substring(at));
    return Arbitraries.oneOf(spliced, inserted, noise);
  }
}
