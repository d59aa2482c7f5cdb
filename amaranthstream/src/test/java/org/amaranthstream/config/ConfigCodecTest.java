package org.amaranthstream.config;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.WorkClassId;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;

class ConfigCodecTest {
  private static final Path EXAMPLE = Path.of("../docs/examples/config.yaml");
  private static final ConfigGeneration GENERATION = ConfigGeneration.of(7);

  @Nested
  class Decode {
    @Test
    void readsTheExample() throws IOException {
      OperatorConfig config = value(decode(Files.readString(EXAMPLE)));
      WorkClass batch = config.classes().get(WorkClassId.of("batch"));
      assertThat(config.generation()).isEqualTo(GENERATION);
      assertThat(batch.stepDeadline()).isEqualTo(Duration.ofMinutes(7));
      assertThat(batch.idempotent()).isTrue();
      assertThat(config.classes().get(WorkClassId.of("quote")).idempotent()).isFalse();
      assertThat(config.pools().get(PoolId.of("coding")).checksFencing()).isTrue();
    }

    @ParameterizedTest
    @CsvFileSource(
        resources = "/config/errors.txt",
        delimiter = '|',
        quoteCharacter = '`',
        numLinesToSkip = 1,
        ignoreLeadingAndTrailingWhitespace = false)
    void reportsLineKeyFoundAndExpected(String before, String after, String expected)
        throws IOException {
      String example = Files.readString(EXAMPLE);
      int at = example.indexOf(before);
      assertThat(at).isAtLeast(0);
      String broken =
          example.substring(0, at)
              + after.replace("\\n", "\n")
              + example.substring(at + before.length());
      Result<OperatorConfig> result = decode(broken);
      assertThat(result).isInstanceOf(Result.Failure.class);
      Result.Failure<OperatorConfig> failure = (Result.Failure<OperatorConfig>) result;
      assertThat(failure.error().code()).isEqualTo(ResultCode.CONFIG_INVALID);
      assertThat(failure.error().message()).startsWith(expected);
    }
  }

  @Property(seed = "20261203", tries = 200)
  void encodedConfigDecodesToAnEqualOne(@ForAll("configs") OperatorConfig config) {
    assertThat(value(decode(ConfigCodec.encode(config)))).isEqualTo(config);
  }

  @Provide
  Arbitrary<OperatorConfig> configs() {
    return names()
        .list()
        .ofMinSize(1)
        .ofMaxSize(5)
        .uniqueElements()
        .flatMap(pools -> classes(pools).map(classes -> config(pools, classes)));
  }

  private static Arbitrary<List<WorkClass>> classes(List<String> pools) {
    Arbitrary<WorkClass> classes =
        Combinators.combine(
                names(),
                Arbitraries.integers().between(0, pools.size() - 1),
                Arbitraries.longs().between(1, 1_800_000),
                Arbitraries.of(true, false))
            .as((name, pool, millis, flag) -> workClass(name, pools.get(pool), millis, flag));
    return classes.list().ofMaxSize(6).uniqueElements(WorkClass::id);
  }

  private static WorkClass workClass(String name, String pool, long millis, boolean isTraining) {
    Duration deadline = Duration.ofMillis(isTraining ? millis + 100 : millis);
    ClassKind kind = isTraining ? ClassKind.TRAINING : ClassKind.INTERACTIVE;
    return WorkClass.builder(WorkClassId.of(name), kind, PoolId.of(pool), deadline)
        .idempotent(isTraining)
        .stalenessBound((int) (millis % 9))
        .weighsMore(isTraining ? PriorityTarget.STALENESS : PriorityTarget.IDLE_TIME)
        .maxTokens((int) (millis % 900) + 1)
        .build();
  }

  private static OperatorConfig config(List<String> pools, List<WorkClass> classes) {
    OperatorConfig.Builder builder = OperatorConfig.builder(GENERATION);
    for (String pool : pools) {
      builder.add(Pool.modelEngine(PoolId.of(pool), ModelId.of(pool), pool.length() > 3));
    }
    classes.forEach(builder::add);
    return builder.build();
  }

  private static Arbitrary<String> names() {
    // Unless quoted, YAML could read these names as other types or as syntax.
    Arbitrary<String> ambiguous =
        Arbitraries.of("null", "true", "NO", "12", "1e3", "0x1F", "1:30", "-", ":", ".5", "2s");
    Arbitrary<String> plain =
        Arbitraries.strings().withChars("abzAZ019._:-").ofMinLength(1).ofMaxLength(8);
    return Arbitraries.oneOf(ambiguous, plain);
  }

  private static Result<OperatorConfig> decode(String yaml) {
    return ConfigCodec.decode("c", yaml, GENERATION);
  }

  private static OperatorConfig value(Result<OperatorConfig> result) {
    assertThat(result).isInstanceOf(Result.Success.class);
    return ((Result.Success<OperatorConfig>) result).value();
  }
}
