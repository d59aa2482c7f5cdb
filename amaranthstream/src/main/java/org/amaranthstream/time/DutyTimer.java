package org.amaranthstream.time;

import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.amaranthstream.ring.Duty;
import org.jspecify.annotations.Nullable;

/**
 * A timer subscription whose task runs on a duty.
 *
 * <p>A one-time task that the duty rejects is offered again until it is accepted; a periodic task
 * has at most one run in the duty's ring buffer. Thread safe.
 */
final class DutyTimer implements Subscription {
  private static final long FULL_RING_RETRY_MILLIS = 1;

  private final ScheduledExecutorService executor;
  private final Duty duty;
  private final Runnable task;
  private final AtomicBoolean isQueued = new AtomicBoolean();
  private volatile boolean isCancelled;
  private volatile @Nullable Future<?> future;

  DutyTimer(ScheduledExecutorService executor, Duty duty, Runnable task) {
    this.executor = executor;
    this.duty = duty;
    this.task = task;
  }

  /** Sets the future that {@link #cancel} cancels, or cancels it if that has been called. */
  void attach(Future<?> scheduled) {
    future = scheduled;
    if (isCancelled) {
      scheduled.cancel(false);
    }
  }

  /** Offers the task to the duty, and retries after a delay while the ring buffer is full. */
  void fireOnce() {
    if (isCancelled || duty.offer(this::run)) {
      return;
    }
    try {
      attach(executor.schedule(this::fireOnce, FULL_RING_RETRY_MILLIS, TimeUnit.MILLISECONDS));
    } catch (RejectedExecutionException e) {
      isCancelled = true;
    }
  }

  /** Offers the task to the duty, unless the previous run is still queued. */
  void firePeriodic() {
    if (isCancelled || !isQueued.compareAndSet(false, true)) {
      return;
    }
    if (!duty.offer(this::run)) {
      isQueued.set(false);
    }
  }

  private void run() {
    isQueued.set(false);
    if (!isCancelled) {
      task.run();
    }
  }

  @Override
  public void cancel() {
    isCancelled = true;
    Future<?> scheduled = future;
    if (scheduled != null) {
      scheduled.cancel(false);
    }
  }
}
