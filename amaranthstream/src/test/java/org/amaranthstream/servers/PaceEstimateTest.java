package org.amaranthstream.servers;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Intervals between events of several concurrent streams of one server. */
class PaceEstimateTest {
  private static final long INTERVAL_NANOS = Duration.ofMillis(40).toNanos();
  private static final long SPAN_NANOS = Duration.ofMillis(600).toNanos();
  private static final int STREAMS = 8;

  private final PaceEstimate estimate = new PaceEstimate();
  private long nowNanos;

  /** Adds the events of {@code duration}, with intervals of {@code factor} times the usual one. */
  private void add(Duration duration, double factor) {
    long end = nowNanos + duration.toNanos();
    long interval = (long) (INTERVAL_NANOS * factor);
    while (nowNanos < end) {
      nowNanos += interval / STREAMS;
      estimate.add(interval, nowNanos);
    }
  }

  private double factor() {
    return estimate.medianNanos(nowNanos).orElseThrow() / INTERVAL_NANOS;
  }

  /**
   * 15% of the spans of 600 ms take 2.5 times as long, never more than half of the window of the
   * estimate. Three of four in a row, which are rare, do look like a slow server.
   */
  @Test
  void hardlyChangesInShortSlowSpans() {
    Random random = new Random(1);
    int lastSlow = -2;
    int lastButOneSlow = -3;
    int off = 0;
    int spans = 400;
    for (int i = 0; i < spans; i++) {
      boolean isSlow = i - lastButOneSlow > 3 && random.nextInt(100) < 15;
      add(Duration.ofNanos(SPAN_NANOS), isSlow ? 2.5 : 1);
      if (isSlow) {
        lastButOneSlow = lastSlow;
        lastSlow = i;
      }
      off += factor() > 1.5 ? 1 : 0;
    }

    assertThat(off).isEqualTo(0);
  }

  @Test
  void followsServersThatStaySlow() {
    add(Duration.ofSeconds(5), 1);
    add(Duration.ofMillis(1_800), 3);

    assertThat(factor()).isWithin(0.1).of(3);
  }

  @Test
  void isUnknownWithoutRecentEvents() {
    add(Duration.ofSeconds(5), 1);
    nowNanos += Duration.ofSeconds(4).toNanos();

    assertThat(estimate.medianNanos(nowNanos).isEmpty()).isTrue();
  }
}
