package org.amaranthstream.metrics;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableMap;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MetricsTest {
  private final Metrics metrics = Metrics.create();

  @Nested
  class Text {
    @Test
    void containsCountersGaugesAndHistograms() {
      metrics.count(Metric.CALLS, "lookup", "OK");
      metrics.observe(Metric.CALL_SECONDS, 0.2, "lookup");
      metrics.registerCallback(Metric.CONFIG_GENERATION, () -> 7);
      metrics.registerCallback(Metric.DUTY_QUEUE_TASKS, ImmutableMap.of("decisions", () -> 3));
      String text = metrics.text();
      assertThat(text).contains("amaranthstream_calls_total{class=\"lookup\",code=\"OK\"} 1.0");
      assertThat(text).contains("amaranthstream_call_seconds_count{class=\"lookup\"} 1");
      assertThat(text).contains("amaranthstream_config_generation 7.0");
      assertThat(text).contains("amaranthstream_duty_queue_tasks{duty=\"decisions\"} 3.0");
    }
  }

  @Nested
  class Labels {
    @Test
    void haveBoundedNumberOfValues() {
      for (int i = 0; i < Metrics.MAX_LABEL_VALUES + 50; i++) {
        metrics.count(Metric.CALLS, "class-" + i, "OK");
      }
      assertThat(metrics.text().lines().filter(line -> line.contains("class=\"")).count())
          .isEqualTo(Metrics.MAX_LABEL_VALUES + 1);
      assertThat(metrics.text()).contains("class=\"other\",code=\"OK\"} 50.0");
    }

    @Test
    void mustMatchDeclaration() {
      assertThrows(IllegalArgumentException.class, () -> metrics.count(Metric.CALLS, "lookup"));
      assertThrows(
          IllegalArgumentException.class,
          () -> metrics.registerCallback(Metric.DUTY_QUEUE_TASKS, () -> 1));
    }
  }
}
