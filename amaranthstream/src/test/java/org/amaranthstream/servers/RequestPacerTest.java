package org.amaranthstream.servers;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RequestPacerTest {
  private static final Duration INTERVAL = Duration.ofMillis(500);
  private static final Duration PATIENCE = Duration.ofSeconds(1);
  private static final long START = -7;

  private final RequestPacer pacer = RequestPacer.startingAt(START);

  private Optional<Duration> reserve(Duration sinceStart) {
    return pacer.reserve(INTERVAL, PATIENCE, START + sinceStart.toNanos());
  }

  @Test
  void spacesRequestsThatArriveTogether() {
    assertThat(reserve(Duration.ZERO)).isEqualTo(Optional.of(Duration.ZERO));
    assertThat(reserve(Duration.ZERO)).isEqualTo(Optional.of(INTERVAL));
    assertThat(reserve(Duration.ZERO)).isEqualTo(Optional.of(INTERVAL.multipliedBy(2)));
  }

  /** Denied requests must not push back those that come later. */
  @Test
  void deniesAtOnceWhatWouldWaitTooLong() {
    for (int i = 0; i < 3; i++) {
      reserve(Duration.ZERO);
    }
    assertThat(reserve(Duration.ZERO)).isEqualTo(Optional.empty());
    assertThat(reserve(INTERVAL)).isEqualTo(Optional.of(PATIENCE));
  }

  @Test
  void savesNothingUpDuringPause() {
    Duration later = Duration.ofMinutes(1);
    assertThat(reserve(later)).isEqualTo(Optional.of(Duration.ZERO));
    assertThat(reserve(later)).isEqualTo(Optional.of(INTERVAL));
  }
}
