package org.amaranthstream.placement;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.amaranthstream.placement.ServerHealth.Verdict;
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
  void benchesManyFailures() {
    outcomes(7, false, 0);
    assertThat(health.verdict(0)).isEqualTo(Verdict.HEALTHY);
    outcomes(1, false, 0);

    assertThat(health.verdict(0)).isEqualTo(Verdict.BENCHED);
  }

  @Test
  void restoresOnlyAfterSuccessesInTurn() {
    outcomes(8, false, 0);
    assertThat(health.verdict(SECOND)).isEqualTo(Verdict.TRIAL);
    outcomes(2, true, SECOND);
    assertThat(health.verdict(SECOND)).isEqualTo(Verdict.TRIAL);
    outcomes(1, true, SECOND);

    assertThat(health.verdict(SECOND)).isEqualTo(Verdict.HEALTHY);
  }

  @Test
  void doublesTheBenchAfterFailedTrial() {
    outcomes(8, false, 0);
    assertThat(health.verdict(SECOND)).isEqualTo(Verdict.TRIAL);
    health.onOutcome(false, SECOND);

    assertThat(health.verdict(3 * SECOND - 1)).isEqualTo(Verdict.BENCHED);
    assertThat(health.verdict(3 * SECOND)).isEqualTo(Verdict.TRIAL);
  }

  @Test
  void benchesLowRateOverLongWindow() {
    for (int i = 0; i < 2000 && health.verdict(0) == Verdict.HEALTHY; i++) {
      health.onOutcome(i % 25 != 0, 0);
    }

    assertThat(health.verdict(0)).isEqualTo(Verdict.BENCHED);
  }

  @Test
  void keepsServerWithRareFailures() {
    for (int i = 0; i < 5000; i++) {
      health.onOutcome(i % 100 != 50, 0);
    }

    assertThat(health.verdict(0)).isEqualTo(Verdict.HEALTHY);
  }
}
