package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class MoveDecisionTest {
  private static final double INTERVAL_NANOS = Duration.ofMillis(40).toNanos();
  private static final Duration AGE = Duration.ofSeconds(2);

  private static boolean moves(double missing, double factor, Duration age, Duration silence) {
    MoveDecision.Run run = new MoveDecision.Run(missing, factor * INTERVAL_NANOS, age, silence);
    return !MoveDecision.benefit(run, INTERVAL_NANOS, Duration.ZERO).isZero();
  }

  /** Servers run at 0.55 to 1.2 of the pace all the time. */
  @Test
  void keepsRunsOfUsualLengthAtServersThatDifferAsUsual() {
    assertThat(moves(9, 1.2 / 0.55, AGE, Duration.ZERO)).isFalse();
  }

  @Test
  void movesRunsFromServersThatHaveTurnedSlow() {
    assertThat(moves(10, 4, AGE, Duration.ZERO)).isTrue();
  }

  @Test
  void keepsRunsThatAreAlmostDone() {
    assertThat(moves(2, 4, AGE, Duration.ZERO)).isFalse();
  }

  @Test
  void keepsRunsThatHaveJustStarted() {
    assertThat(moves(30, 4, Duration.ofMillis(300), Duration.ZERO)).isFalse();
  }

  @Test
  void movesRunsThatHaveStalled() {
    assertThat(moves(4, 1, AGE, Duration.ofMillis(900))).isTrue();
  }

  @Test
  void keepsRunsWhosePromptWouldTakeLongerToRead() {
    MoveDecision.Run run = new MoveDecision.Run(10, 4 * INTERVAL_NANOS, AGE, Duration.ZERO);

    assertThat(MoveDecision.benefit(run, INTERVAL_NANOS, Duration.ofSeconds(2)))
        .isEqualTo(Duration.ZERO);
  }
}
