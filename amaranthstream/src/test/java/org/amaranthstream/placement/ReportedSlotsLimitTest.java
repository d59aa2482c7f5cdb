package org.amaranthstream.placement;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReportedSlotsLimitTest {
  private static final int WINDOW = 32;

  private static void recordResponses(ConcurrencyLimit limit, int windows, long latencyNanos) {
    for (int i = 0; i < windows * WINDOW; i++) {
      limit.onResponse(latencyNanos, limit.limit());
    }
  }

  @Nested
  class KnownSlots {
    private final ConcurrencyLimit limit = ReportedSlotsLimit.startingAt(10);

    @Test
    void doesNotDecreaseForTheQueueOfAllEntryVms() {
      limit.onReport(10, 40);
      recordResponses(limit, 1, 100);
      recordResponses(limit, 1, 900);
      assertThat(limit.limit()).isEqualTo(10);
    }

    @Test
    void decreasesOnRejectionsAndRecovers() {
      limit.onOverload();
      assertThat(limit.limit()).isEqualTo(9);
      recordResponses(limit, 3, 100);
      assertThat(limit.limit()).isEqualTo(10);
    }
  }

  @Nested
  class UnknownSlots {
    @Test
    void isLearnedFromLatency() {
      ConcurrencyLimit limit = ReportedSlotsLimit.startingAt(0);
      recordResponses(limit, 3, 100);
      assertThat(limit.limit()).isEqualTo(7);
      recordResponses(limit, 1, 900);
      assertThat(limit.limit()).isLessThan(7);
    }
  }
}
