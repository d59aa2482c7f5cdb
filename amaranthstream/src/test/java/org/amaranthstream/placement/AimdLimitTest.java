package org.amaranthstream.placement;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class AimdLimitTest {
  private static final int WINDOW = 32;

  private static void recordResponses(ConcurrencyLimit limit, int windows, long latencyNanos) {
    for (int i = 0; i < windows * WINDOW; i++) {
      limit.onResponse(latencyNanos, limit.limit());
    }
  }

  @Test
  void startsAtTheReportedSlotsAndStaysWithinThem() {
    AimdLimit limit = AimdLimit.startingAt(8);
    recordResponses(limit, 10, 100);

    assertThat(limit.limit()).isEqualTo(8);
  }

  @Test
  void growsWhenTheSlotsAreUnknown() {
    AimdLimit limit = AimdLimit.startingAt(0);
    recordResponses(limit, 3, 100);

    assertThat(limit.limit()).isEqualTo(7);
  }

  @Test
  void decreasesWhenTheLatencyOfWindowsRises() {
    AimdLimit limit = AimdLimit.startingAt(10);
    recordResponses(limit, 1, 100);
    recordResponses(limit, 1, 400);

    assertThat(limit.limit()).isEqualTo(9);
  }

  @Test
  void doesNotDecreaseOnSingleSlowResponses() {
    AimdLimit limit = AimdLimit.startingAt(10);
    recordResponses(limit, 1, 100);
    for (int i = 0; i < WINDOW; i++) {
      limit.onResponse(i % 8 == 0 ? 1000 : 100, 10);
    }

    assertThat(limit.limit()).isEqualTo(10);
  }

  @Test
  void decreasesWhileTheServerReportsQueue() {
    AimdLimit limit = AimdLimit.startingAt(32);
    for (int i = 0; i < 10; i++) {
      limit.onReport(8, 24);
    }

    assertThat(limit.limit()).isEqualTo(11);
  }

  @Test
  void recoversAfterRejections() {
    AimdLimit limit = AimdLimit.startingAt(10);
    limit.onOverload();
    limit.onOverload();
    assertThat(limit.limit()).isEqualTo(9);
    recordResponses(limit, 3, 100);

    assertThat(limit.limit()).isEqualTo(10);
  }
}
