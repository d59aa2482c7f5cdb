package org.amaranthstream.time;

import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.amaranthstream.ring.Duty;
import org.jspecify.annotations.Nullable;

/** One subscription whose task runs on a duty. Thread safe. */
final class DutyTimer implements Subscription {
  private static final long FULL_RING_DELAY_MILLIS = 1;

  private final ScheduledExecutorService executor;
  private final Duty duty;
  private final Runnable task;
  private final AtomicBoolean waiting = new AtomicBoolean();
  private volatile boolean cancelled;
  private volatile @Nullable Future<?> future;

  DutyTimer(ScheduledExecutorService executor, Duty duty, Runnable task) {
    this.executor = executor;
    this.duty = duty;
    this.task = task;
  }

  void attach(Future<?> scheduled) {
    future = scheduled;
    if (cancelled) {
      scheduled.cancel(false);
    }
  }

  void fireOnce() {
    if (cancelled || duty.offer(this::run)) {
      return;
    }
    try {
      attach(executor.schedule(this::fireOnce, FULL_RING_DELAY_MILLIS, TimeUnit.MILLISECONDS));
    } catch (RejectedExecutionException e) {
      cancelled = true;
    }
  }

  void firePeriodic() {
    if (cancelled || !waiting.compareAndSet(false, true)) {
      return;
    }
    if (!duty.offer(this::run)) {
      waiting.set(false);
    }
  }

  private void run() {
    waiting.set(false);
    if (!cancelled) {
      task.run();
    }
  }

  @Override
  public void cancel() {
    cancelled = true;
    Future<?> scheduled = future;
    if (scheduled != null) {
      scheduled.cancel(false);
    }
  }
}
