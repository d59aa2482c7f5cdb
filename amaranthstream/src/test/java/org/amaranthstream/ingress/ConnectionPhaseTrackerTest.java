package org.amaranthstream.ingress;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.amaranthstream.routing.RequestLimits;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConnectionPhaseTrackerTest {
  private static final RequestLimits LIMITS =
      new RequestLimits(1_000, 1_000, Duration.ofSeconds(3), Duration.ofSeconds(15));

  private final ConnectionPhaseTracker tracker = new ConnectionPhaseTracker(0);

  private static long seconds(double seconds) {
    return (long) (seconds * 1e9);
  }

  private boolean isTimedOutAt(double seconds) {
    return tracker.isTimedOut(seconds(seconds), LIMITS);
  }

  @Nested
  class Idle {
    @Test
    void timesOutAfterTheIdleTimeout() {
      assertThat(isTimedOutAt(14.9)).isFalse();
      assertThat(isTimedOutAt(15.1)).isTrue();
    }

    @Test
    void timeoutRestartsAfterEachResponse() {
      tracker.onBytes(seconds(10));
      tracker.onHeadEnd(seconds(10));
      tracker.onBodyEnd(seconds(10));
      tracker.onResponseEnd(seconds(12));

      assertThat(isTimedOutAt(26)).isFalse();
      assertThat(isTimedOutAt(28)).isTrue();
    }
  }

  @Nested
  class SlowCaller {
    @Test
    void timesOutAfterTheHeaderTimeoutEvenIfBytesKeepArriving() {
      for (int second = 1; second <= 4; second++) {
        tracker.onBytes(seconds(second));
      }

      assertThat(isTimedOutAt(3.9)).isFalse();
      assertThat(isTimedOutAt(4.1)).isTrue();
    }

    @Test
    void doesNotTimeOutWhileBodyBytesKeepArriving() {
      tracker.onBytes(seconds(1));
      tracker.onHeadEnd(seconds(1));
      for (int second = 2; second <= 40; second++) {
        tracker.onBytes(seconds(second));
        assertThat(isTimedOutAt(second)).isFalse();
      }

      assertThat(isTimedOutAt(54.9)).isFalse();
      assertThat(isTimedOutAt(55.1)).isTrue();
    }
  }

  @Nested
  class WaitingCaller {
    @Test
    void neverTimesOut() {
      tracker.onBytes(seconds(1));
      tracker.onHeadEnd(seconds(1));
      tracker.onBodyEnd(seconds(1));

      assertThat(isTimedOutAt(600)).isFalse();
    }
  }

  @Nested
  class SlowReader {
    private void respond() {
      tracker.onBytes(seconds(1));
      tracker.onHeadEnd(seconds(1));
      tracker.onBodyEnd(seconds(1));
      tracker.onResponseEnd(seconds(2));
    }

    @Test
    void timesOutIfItTakesNothing() {
      respond();
      tracker.onPendingWrites(7, seconds(3));
      tracker.onPendingWrites(7, seconds(17));

      assertThat(isTimedOutAt(17.9)).isFalse();
      assertThat(isTimedOutAt(18.1)).isTrue();
    }

    @Test
    void doesNotTimeOutWhileItTakesBytes() {
      respond();
      for (int second = 3; second <= 60; second++) {
        tracker.onPendingWrites(second, seconds(second));
        assertThat(isTimedOutAt(second)).isFalse();
      }
      tracker.onResponseWritten(seconds(60));

      assertThat(isTimedOutAt(74.9)).isFalse();
      assertThat(isTimedOutAt(75.1)).isTrue();
    }

    @Test
    void timesOutIfItTakesNothingOfStream() {
      tracker.onHeadEnd(seconds(1));
      tracker.onBodyEnd(seconds(1));
      tracker.onPendingWrites(7, seconds(30));
      tracker.onPendingWrites(7, seconds(44));
      assertThat(isTimedOutAt(44.9)).isFalse();

      tracker.onPendingWrites(ConnectionPhaseTracker.NOTHING_PENDING, seconds(45));
      assertThat(isTimedOutAt(600)).isFalse();
    }
  }

  @Nested
  class FastReader {
    /** Guards against a connection whose next head has no timeout. */
    @Test
    void isIdleIfItTakesTheResponseBeforeItsEndIsNoticed() {
      tracker.onHeadEnd(seconds(1));
      tracker.onBodyEnd(seconds(1));
      tracker.onResponseWritten(seconds(2));
      tracker.onResponseEnd(seconds(2));
      tracker.onBytes(seconds(3));

      assertThat(isTimedOutAt(5.9)).isFalse();
      assertThat(isTimedOutAt(6.1)).isTrue();
    }
  }

  @Nested
  class SlowBody {
    private int timeouts;

    private void begin() {
      tracker.onHeadEnd(seconds(1));
      tracker.setBodyTimeout(Duration.ofSeconds(4), () -> timeouts++);
    }

    @Test
    void isReportedOnceAfterItsTimeout() {
      begin();
      tracker.onBytes(seconds(4));
      tracker.checkBodyTimeout(seconds(4.9));
      assertThat(timeouts).isEqualTo(0);

      tracker.checkBodyTimeout(seconds(5));
      tracker.checkBodyTimeout(seconds(6));
      assertThat(timeouts).isEqualTo(1);
    }

    @Test
    void thatHasArrivedIsNotReported() {
      begin();
      tracker.onBodyEnd(seconds(4));
      tracker.checkBodyTimeout(seconds(9));

      assertThat(timeouts).isEqualTo(0);
    }
  }

  @Nested
  class WithoutRequest {
    @Test
    void mayBeDisplaced() {
      assertThat(tracker.isWithoutRequest()).isTrue();
      tracker.onBytes(seconds(1));
      assertThat(tracker.isWithoutRequest()).isTrue();
    }

    @Test
    void keepsItsPlaceFromTheHeadToTheEndOfTheResponse() {
      tracker.onHeadEnd(seconds(1));
      assertThat(tracker.isWithoutRequest()).isFalse();
      tracker.onBodyEnd(seconds(1));
      assertThat(tracker.isWithoutRequest()).isFalse();
      tracker.onResponseEnd(seconds(1));
      assertThat(tracker.isWithoutRequest()).isFalse();
      tracker.onResponseWritten(seconds(1));
      assertThat(tracker.isWithoutRequest()).isTrue();
    }
  }
}
