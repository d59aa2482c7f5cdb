package org.amaranthstream.rollout;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import org.amaranthstream.result.Result;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RolloutDrainTest {
  private final DeliveryWorld world = new DeliveryWorld();

  @Nested
  class IsIdle {
    @Test
    void waitsForReadySamplesWhileTheirTrainerMayStillPull() {
      drainWithReadySample();
      assertThat(isIdle()).isFalse();
      world.timers.advance(Duration.ofSeconds(14));
      assertThat(isIdle()).isFalse();
    }

    @Test
    void doesNotWaitForTrainerThatIsGone() {
      drainWithReadySample();
      world.timers.advance(Duration.ofSeconds(15));
      assertThat(isIdle()).isTrue();
    }
  }

  private void drainWithReadySample() {
    world.pull(0, 1);
    world.engines(0).finishAll();
    world.service(0).drain();
    world.engines(0).finishAll();
  }

  private boolean isIdle() {
    AtomicReference<Result<Boolean>> idle = new AtomicReference<>();
    world.service(0).isIdle(idle::set);
    return idle.get() instanceof Result.Success<Boolean> success && success.value();
  }
}
