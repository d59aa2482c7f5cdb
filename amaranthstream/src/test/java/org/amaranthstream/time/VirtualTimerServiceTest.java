package org.amaranthstream.time;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class VirtualTimerServiceTest {
  private final VirtualTimerService timers = VirtualTimerService.create();
  private final List<String> log = new ArrayList<>();

  private Runnable recordEvent(String text) {
    return () -> log.add(text + "@" + timers.nowNanos());
  }

  @Nested
  class After {
    @Test
    void runsInOrderOfDueTimeThenSubscription() {
      timers.after(Duration.ofNanos(3), recordEvent("c"));
      timers.after(Duration.ofNanos(1), recordEvent("a"));
      timers.after(Duration.ofNanos(3), recordEvent("d"));

      timers.advance(Duration.ofNanos(3));

      assertThat(log).containsExactly("a@1", "c@3", "d@3").inOrder();
    }

    @Test
    void runsTasksScheduledByOtherTasks() {
      timers.after(Duration.ofNanos(1), () -> timers.after(Duration.ofNanos(1), recordEvent("b")));

      timers.advance(Duration.ofNanos(2));

      assertThat(log).containsExactly("b@2");
    }

    @Test
    void doesNotRunAfterCancel() {
      Subscription subscription = timers.after(Duration.ofNanos(1), recordEvent("a"));
      subscription.cancel();
      subscription.cancel();

      timers.advance(Duration.ofNanos(5));

      assertThat(log).isEmpty();
      assertThat(timers.pending()).isEqualTo(0);
    }
  }

  @Nested
  class Every {
    @Test
    void runsEveryPeriodUntilCancelled() {
      Subscription subscription = timers.every(Duration.ofNanos(2), recordEvent("t"));
      timers.advance(Duration.ofNanos(5));
      subscription.cancel();
      timers.advance(Duration.ofNanos(5));

      assertThat(log).containsExactly("t@2", "t@4").inOrder();
    }
  }

  @Test
  void advancesToNextTimer() {
    timers.after(Duration.ofNanos(7), recordEvent("a"));

    assertThat(timers.advanceToNext()).isTrue();
    assertThat(timers.advanceToNext()).isFalse();
    assertThat(log).containsExactly("a@7");
  }
}
