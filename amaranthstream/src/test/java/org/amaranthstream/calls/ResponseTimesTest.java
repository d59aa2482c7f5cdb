package org.amaranthstream.calls;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.RouteId;
import org.junit.jupiter.api.Test;

class ResponseTimesTest {
  private static final RouteId ROUTE = RouteId.of("lookup");
  private final ResponseTimes times = new ResponseTimes(0);

  private void record(long atSeconds, long millis) {
    times.record(ROUTE, Duration.ofMillis(millis), Duration.ofSeconds(atSeconds).toNanos());
  }

  private Optional<Duration> longest(long atSeconds) {
    return times.longest(ROUTE, Duration.ofSeconds(atSeconds).toNanos());
  }

  @Test
  void returnsTheLongestOfRecentTimes() {
    record(1, 40);
    record(2, 900);
    record(3, 30);

    assertThat(longest(4)).hasValue(Duration.ofMillis(900));
  }

  @Test
  void forgetsTimesAfterTwoPeriods() {
    record(1, 900);
    record(31, 40);
    assertThat(longest(32)).hasValue(Duration.ofMillis(900));
    assertThat(longest(62)).hasValue(Duration.ofMillis(40));
    assertThat(longest(200)).isEmpty();
  }

  @Test
  void isEmptyForRoutesWithoutRequests() {
    record(1, 40);

    assertThat(times.longest(RouteId.of("other"), 0)).isEmpty();
  }
}
