package org.amaranthstream.prompts;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class PrefillRateTest {
  private static final long PROMPT_TOKENS = 1_000;
  private static final long HELD_TOKENS = 980;
  private static final Duration COMMON_DELAY = Duration.ofMillis(9);
  private static final Duration NANOS_PER_TOKEN = Duration.ofNanos(2_000);
  private static final int SAMPLES = 16;

  private final PrefillRate rate = new PrefillRate();

  private void add(long held, Duration additional) {
    Duration reading = NANOS_PER_TOKEN.multipliedBy(PROMPT_TOKENS - held);
    rate.add(PROMPT_TOKENS, held, COMMON_DELAY.plus(reading).plus(additional));
  }

  @Test
  void unknownWithoutHeldPrompts() {
    for (int i = 0; i < SAMPLES; i++) {
      add(0, Duration.ZERO);
    }

    assertThat(rate.nanosPerToken().isPresent()).isFalse();
  }

  @Test
  void differenceOfDelaysIsTheTimeToRead() {
    for (int i = 0; i < SAMPLES; i++) {
      add(0, Duration.ZERO);
      add(HELD_TOKENS, Duration.ZERO);
    }

    assertThat(rate.nanosPerToken().getAsDouble()).isWithin(1).of(NANOS_PER_TOKEN.toNanos());
  }

  @Test
  void toleratesSomeRequestsThatWaitedInQueues() {
    for (int i = 0; i < SAMPLES; i++) {
      Duration queue = i % 4 == 0 ? Duration.ofSeconds(1) : Duration.ZERO;
      add(0, queue);
      add(HELD_TOKENS, queue);
    }

    assertThat(rate.nanosPerToken().getAsDouble()).isWithin(1).of(NANOS_PER_TOKEN.toNanos());
  }

  @Test
  void neverNegative() {
    for (int i = 0; i < SAMPLES; i++) {
      add(0, Duration.ZERO);
      add(HELD_TOKENS, Duration.ofSeconds(1));
    }

    assertThat(rate.nanosPerToken().getAsDouble()).isEqualTo(0);
  }
}
