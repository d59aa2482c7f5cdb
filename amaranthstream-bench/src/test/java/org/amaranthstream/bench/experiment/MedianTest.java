package org.amaranthstream.bench.experiment;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class MedianTest {

  @Test
  void showsTheRangeOnlyIfValuesDiffer() {
    assertThat(new Median(2, 1, 3).summary()).isEqualTo("2 (1 to 3)");
    assertThat(new Median(0.5, 0.5, 0.5).summary()).isEqualTo("0.500");
  }
}
