package org.amaranthstream.servers;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RequestPacerTest {
  private static final Duration INTERVAL = Duration.ofMillis(500);
  private static final Duration PATIENCE = Duration.ofSeconds(1);
  private static final int BURST = 2;
  private static final long START = -7;

  private final RequestPacer pacer = RequestPacer.startingAt(START, BURST);

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
  void savesUpNoMoreThanTheBurstDuringPause() {
    Duration later = Duration.ofMinutes(1);
    for (int i = 0; i <= BURST; i++) {
      assertThat(reserve(later)).isEqualTo(Optional.of(Duration.ZERO));
    }
    assertThat(reserve(later)).isEqualTo(Optional.of(INTERVAL));
  }
}
