package org.amaranthstream.bench.experiment;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class MedianTest {

  @Test
  void showsTheSpreadOnlyIfThereIsOne() {
    assertThat(new Median(2, 1, 3).text()).isEqualTo("2 (1 to 3)");
    assertThat(new Median(0.5, 0.5, 0.5).text()).isEqualTo("0.500");
  }
}
