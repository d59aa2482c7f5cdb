package org.amaranthstream.rollout;

import java.time.Duration;
import java.util.function.Consumer;
import org.amaranthstream.time.TimerService;

/**
 * The deadline for the work of a step. Work that starts shortly before the step's deadline or after
 * it still gets a quarter of the step's allowance, because the trainer needs every sample. Not
 * thread safe.
 */
final class StepDeadline {
  private static final int GRACE_DIVISOR = 4;

  private final TimerService timers;
  private boolean lateReported;

  StepDeadline(TimerService timers) {
    this.timers = timers;
  }

  /**
   * Returns the deadline of work that starts now.
   *
   * @param startedNanos time when the step's first slot started
   * @param allowance time that the class allows for the step
   * @param onLate receives the overrun once, at the first call after the step's deadline
   */
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
