package org.amaranthstream.metrics;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.base.Ascii;
import com.google.common.base.Joiner;
import java.util.Arrays;
import java.util.List;
import org.amaranthstream.docs.DocTable;
import org.junit.jupiter.api.Test;

class MetricsPageTest {
  @Test
  void documentsEveryMetric() {
    assertThat(DocTable.rows("METRICS.md"))
        .containsExactlyElementsIn(
            Arrays.stream(Metric.values())
                .map(
                    metric ->
                        List.of(
                            metric.fullName(),
                            Ascii.toLowerCase(metric.type().name()),
                            Joiner.on(", ").join(metric.labels()),
                            metric.help()))
                .toList());
  }
}
