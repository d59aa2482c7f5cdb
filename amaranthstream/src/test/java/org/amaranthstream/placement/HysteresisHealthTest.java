package org.amaranthstream.placement;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.amaranthstream.placement.ServerHealth.State;
import org.junit.jupiter.api.Test;

class HysteresisHealthTest {
  private static final long SECOND = Duration.ofSeconds(1).toNanos();

  private final HysteresisHealth health = HysteresisHealth.create();

  private void outcomes(int count, boolean success, long nowNanos) {
    for (int i = 0; i < count; i++) {
      health.onOutcome(success, nowNanos);
    }
  }

  @Test
  void ejectsAfterManyFailures() {
    outcomes(7, false, 0);
    assertThat(health.stateAt(0)).isEqualTo(State.HEALTHY);
    outcomes(1, false, 0);

    assertThat(health.stateAt(0)).isEqualTo(State.EJECTED);
  }

  @Test
  void restoresOnlyAfterConsecutiveSuccesses() {
    outcomes(8, false, 0);
    assertThat(health.stateAt(SECOND)).isEqualTo(State.TRIAL);
    outcomes(2, true, SECOND);
    assertThat(health.stateAt(SECOND)).isEqualTo(State.TRIAL);
    outcomes(1, true, SECOND);

    assertThat(health.stateAt(SECOND)).isEqualTo(State.HEALTHY);
  }

  @Test
  void doublesTheEjectionTimeAfterFailedTrial() {
    outcomes(8, false, 0);
    assertThat(health.stateAt(SECOND)).isEqualTo(State.TRIAL);
    health.onOutcome(false, SECOND);

    assertThat(health.stateAt(3 * SECOND - 1)).isEqualTo(State.EJECTED);
    assertThat(health.stateAt(3 * SECOND)).isEqualTo(State.TRIAL);
  }

  @Test
  void ejectsServerWithLowFailureRateOverLongTime() {
    for (int i = 0; i < 2000 && health.stateAt(0) == State.HEALTHY; i++) {
      health.onOutcome(i % 25 != 0, 0);
    }

    assertThat(health.stateAt(0)).isEqualTo(State.EJECTED);
  }

  @Test
  void keepsServerWithRareFailures() {
    for (int i = 0; i < 5000; i++) {
      health.onOutcome(i % 100 != 50, 0);
    }

    assertThat(health.stateAt(0)).isEqualTo(State.HEALTHY);
  }
}
