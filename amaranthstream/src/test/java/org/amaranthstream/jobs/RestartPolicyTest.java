package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class RestartPolicyTest {
  private static final long LONG_TEXT = 200;
  private static final long SHORT_TEXT = 4;

  @Test
  void longTextWaitsForServersThatAreBusy() {
    assertThat(RestartPolicy.shouldRestart(LONG_TEXT, true, Duration.ofSeconds(4))).isFalse();
  }

  @Test
  void longTextBeginsAnewOnceTheWaitHasTakenAsLongAsTheText() {
    assertThat(RestartPolicy.shouldRestart(LONG_TEXT, true, Duration.ofSeconds(5))).isTrue();
  }

  @Test
  void shortTextBeginsAnewSoon() {
    assertThat(RestartPolicy.shouldRestart(SHORT_TEXT, true, Duration.ofMillis(100))).isTrue();
  }

  @Test
  void longTextOfServersThatAreGoneBeginsAnewOnceOtherServersHadTimeToRegister() {
    assertThat(RestartPolicy.shouldRestart(LONG_TEXT, false, Duration.ofMillis(250))).isFalse();
    assertThat(RestartPolicy.shouldRestart(LONG_TEXT, false, Duration.ofMillis(300))).isTrue();
  }
}
