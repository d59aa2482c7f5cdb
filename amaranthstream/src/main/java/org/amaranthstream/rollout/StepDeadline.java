package org.amaranthstream.rollout;

import java.time.Duration;
import java.util.function.Consumer;
import org.amaranthstream.time.TimerService;

/**
 * Deadline of the work of a step. Work of a step that is nearly late or late still gets a quarter
 * of the step's time, since its trainer waits for every sample. Not thread safe.
 */
final class StepDeadline {
  private static final int GRACE_DIVISOR = 4;

  private final TimerService timers;
  private boolean lateReported;

  StepDeadline(TimerService timers) {
    this.timers = timers;
  }

  /** Returns the deadline of work that starts now, and reports once that the step is late. */
  long nanos(long startedNanos, Duration allowance, Consumer<Duration> onLate) {
    long now = timers.nowNanos();
    long grace = allowance.toNanos() / GRACE_DIVISOR;
    long deadline = startedNanos + allowance.toNanos();
    if (now - deadline >= 0 && !lateReported) {
      lateReported = true;
      onLate.accept(Duration.ofNanos(now - deadline));
    }
    return deadline - now >= grace ? deadline : now + grace;
  }
}
