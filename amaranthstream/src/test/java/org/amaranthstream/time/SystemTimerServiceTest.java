package org.amaranthstream.time;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthstream.ring.Duty;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SystemTimerServiceTest {
  private static final long TIMEOUT_SECONDS = 20;

  private final SystemTimerService service = SystemTimerService.start("test-timers");
  private final BlockingQueue<Runnable> ring = new ArrayBlockingQueue<>(1);
  private final Duty duty = ring::offer;
  private final AtomicInteger runs = new AtomicInteger();

  @AfterEach
  void stop() throws InterruptedException {
    service.close();
    assertThat(service.awaitStopped(TIMEOUT_SECONDS)).isTrue();
  }

  private Runnable takeFromRing() throws InterruptedException {
    Runnable task = ring.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertThat(task).isNotNull();
    return task;
  }

  @Nested
  class After {
    @Test
    void offersTaskToDuty() throws InterruptedException {
      service.forDuty(duty).after(Duration.ofMillis(1), runs::incrementAndGet);

      takeFromRing().run();

      assertThat(runs.get()).isEqualTo(1);
    }

    @Test
    void offersTaskAgainWhenRingIsFull() throws InterruptedException {
      ring.add(() -> {});
      AtomicInteger offers = new AtomicInteger();
      Duty counting =
          task -> {
            offers.incrementAndGet();
            return ring.offer(task);
          };
      service.forDuty(counting).after(Duration.ZERO, runs::incrementAndGet);
      while (offers.get() < 2) {
        Thread.onSpinWait();
      }

      takeFromRing().run();
      takeFromRing().run();

      assertThat(runs.get()).isEqualTo(1);
    }

    @Test
    void doesNotRunTaskCancelledWhileQueued() throws InterruptedException {
      Subscription subscription = service.forDuty(duty).after(Duration.ZERO, runs::incrementAndGet);
      Runnable task = takeFromRing();
      subscription.cancel();

      task.run();

      assertThat(runs.get()).isEqualTo(0);
    }
  }

  @Nested
  class Every {
    @Test
    void runsTaskRepeatedly() throws InterruptedException {
      service.forDuty(duty).every(Duration.ofMillis(1), runs::incrementAndGet);

      takeFromRing().run();
      takeFromRing().run();

      assertThat(runs.get()).isEqualTo(2);
    }
  }

  @Test
  void ignoresSubscriptionsAfterClose() {
    service.close();

    service.forDuty(duty).after(Duration.ZERO, runs::incrementAndGet).cancel();

    assertThat(ring).isEmpty();
  }
}
