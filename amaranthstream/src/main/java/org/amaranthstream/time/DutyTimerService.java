package org.amaranthstream.time;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.ring.Duty;

/** A timer service for one duty, driven by a {@link SystemTimerService}. Thread safe. */
final class DutyTimerService implements TimerService {
  private final ScheduledExecutorService executor;
  private final Duty duty;

  DutyTimerService(ScheduledExecutorService executor, Duty duty) {
    this.executor = executor;
    this.duty = duty;
  }

  @Override
  public long nowNanos() {
    return System.nanoTime();
  }

  @Override
  public Subscription after(Duration delay, Runnable task) {
    checkNotNull(task, "task");
    checkArgument(!delay.isNegative(), "delay is negative: %s", delay);
    DutyTimer timer = new DutyTimer(executor, duty, task);
    try {
      timer.attach(executor.schedule(timer::fireOnce, delay.toNanos(), TimeUnit.NANOSECONDS));
    } catch (RejectedExecutionException e) {
      timer.cancel();
    }
    return timer;
  }

  @Override
  public Subscription every(Duration period, Runnable task) {
    checkNotNull(task, "task");
    checkArgument(!period.isNegative() && !period.isZero(), "period is not positive: %s", period);
    DutyTimer timer = new DutyTimer(executor, duty, task);
    long nanos = period.toNanos();
    try {
      timer.attach(
          executor.scheduleWithFixedDelay(timer::firePeriodic, nanos, nanos, TimeUnit.NANOSECONDS));
    } catch (RejectedExecutionException e) {
      timer.cancel();
    }
    return timer;
  }
}
