package org.amaranthstream.ingress;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.amaranthstream.routing.RequestLimits;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConnectionClockTest {
  private static final RequestLimits LIMITS =
      new RequestLimits(1_000, 1_000, Duration.ofSeconds(3), Duration.ofSeconds(15));

  private final ConnectionClock clock = new ConnectionClock(0);

  private static long seconds(double seconds) {
    return (long) (seconds * 1e9);
  }

  private boolean isOverdueAt(double seconds) {
    return clock.isOverdue(seconds(seconds), LIMITS);
  }

  @Nested
  class Idle {
    @Test
    void endsWithTheIdleTimeout() {
      assertThat(isOverdueAt(14.9)).isFalse();
      assertThat(isOverdueAt(15.1)).isTrue();
    }

    @Test
    void startsAnewWithEachAnswer() {
      clock.onBytes(seconds(10));
      clock.onHead(seconds(10));
      clock.onBody(seconds(10));
      clock.onAnswered(seconds(12));

      assertThat(isOverdueAt(26)).isFalse();
      assertThat(isOverdueAt(28)).isTrue();
    }
  }

  @Nested
  class SlowCaller {
    @Test
    void hasTheHeaderTimeoutForTheWholeHeadHoweverOftenBytesArrive() {
      for (int second = 1; second <= 4; second++) {
        clock.onBytes(seconds(second));
      }

      assertThat(isOverdueAt(3.9)).isFalse();
      assertThat(isOverdueAt(4.1)).isTrue();
    }

    @Test
    void mayTakeLongForBodyThatKeepsArriving() {
      clock.onBytes(seconds(1));
      clock.onHead(seconds(1));
      for (int second = 2; second <= 40; second++) {
        clock.onBytes(seconds(second));
        assertThat(isOverdueAt(second)).isFalse();
      }

      assertThat(isOverdueAt(54.9)).isFalse();
      assertThat(isOverdueAt(55.1)).isTrue();
    }
  }

  @Nested
  class WaitingCaller {
    @Test
    void isNeverCutOff() {
      clock.onBytes(seconds(1));
      clock.onHead(seconds(1));
      clock.onBody(seconds(1));

      assertThat(isOverdueAt(600)).isFalse();
    }
  }
}
