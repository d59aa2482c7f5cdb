package org.amaranthstream.calls;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ShutdownAdmissionTest {
  private static final Duration GRACE_PERIOD = Duration.ofSeconds(7);
  private static final Duration BALANCER_DELAY = Duration.ofSeconds(3);

  private final ShutdownAdmission admission = ShutdownAdmission.of(GRACE_PERIOD, BALANCER_DELAY);

  private boolean accepts(double elapsed, double timeLeft, Optional<Duration> longest) {
    return admission.accepts(seconds(elapsed), seconds(timeLeft), longest);
  }

  private static Duration seconds(double seconds) {
    return Duration.ofNanos((long) (seconds * 1e9));
  }

  @Test
  void acceptsRequestsThatTimeOutBeforeTheEnd() {
    assertThat(accepts(0, 7, Optional.empty())).isTrue();
    assertThat(accepts(4.5, 2.5, Optional.empty())).isTrue();
    assertThat(accepts(4.6, 2.5, Optional.empty())).isFalse();
  }

  @Test
  void acceptsRequestsThatUsuallyEndInTimeUntilTheBalancerReacts() {
    assertThat(accepts(1, 60, Optional.of(seconds(0.5)))).isTrue();
    assertThat(accepts(2.9, 60, Optional.of(seconds(1)))).isTrue();
    assertThat(accepts(2.9, 60, Optional.of(seconds(2)))).isFalse();
    assertThat(accepts(3.1, 60, Optional.of(seconds(0.01)))).isFalse();
  }

  @Test
  void rejectsRequestsOfUnknownDurationThatMayTakeTooLong() {
    assertThat(accepts(0, 60, Optional.empty())).isFalse();
  }
}
