package org.amaranthstream.rollout;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import org.amaranthstream.result.Result;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RolloutDrainTest {
  private final DeliveryHarness harness = new DeliveryHarness();

  @Nested
  class IsIdle {
    @Test
    void waitsForReadySamplesWhileTheirTrainerMayStillPull() {
      drainWithReadySample();
      assertThat(isIdle()).isFalse();
      harness.timers.advance(Duration.ofSeconds(14));
      assertThat(isIdle()).isFalse();
    }

    @Test
    void doesNotWaitForTrainerThatStoppedPulling() {
      drainWithReadySample();
      harness.timers.advance(Duration.ofSeconds(15));
      assertThat(isIdle()).isTrue();
    }
  }

  private void drainWithReadySample() {
    harness.pull(0, 1);
    harness.engines(0).finishAll();
    harness.service(0).drain();
    harness.engines(0).finishAll();
  }

  private boolean isIdle() {
    AtomicReference<Result<Boolean>> idle = new AtomicReference<>();
    harness.service(0).isIdle(idle::set);
    return idle.get() instanceof Result.Success<Boolean> success && success.value();
  }
}
