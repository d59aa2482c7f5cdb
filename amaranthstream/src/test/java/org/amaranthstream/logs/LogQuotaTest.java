package org.amaranthstream.logs;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.Test;

/** Guards against clients who fill the log, one line for each request. */
class LogQuotaTest {
  private static final int MANY = 10_000;

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final LogQuota quota = LogQuota.create(timers, "request_rejected");

  private int takeMany() {
    int taken = 0;
    for (int i = 0; i < MANY; i++) {
      taken += quota.tryTake() ? 1 : 0;
    }
    return taken;
  }

  @Test
  void linesOfSecondAreBounded() {
    assertThat(takeMany()).isEqualTo(200);

    timers.advance(Duration.ofMillis(999));
    assertThat(quota.tryTake()).isFalse();
  }

  @Test
  void nextSecondHasLinesAgain() {
    takeMany();
    timers.advance(Duration.ofSeconds(1));

    assertThat(takeMany()).isEqualTo(200);
  }
}
