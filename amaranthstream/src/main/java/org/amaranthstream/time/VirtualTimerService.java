package org.amaranthstream.time;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.PriorityQueue;

/**
 * A timer service with a virtual clock that advances only on request, for tests and simulations.
 *
 * <p>Tasks run on the thread that advances the clock, in order of due time and, for equal due
 * times, in order of subscription. Not thread safe.
 *
 * <pre>{@code
 * VirtualTimerService timers = VirtualTimerService.create();
 * timers.after(Duration.ofMillis(5), task);
 * timers.advance(Duration.ofMillis(5)); // runs task
 * }</pre>
 */
public final class VirtualTimerService implements TimerService {
  private final PriorityQueue<Timer> queue = new PriorityQueue<>();
  private long currentNanos;
  private long nextSequence;

  private VirtualTimerService(long startNanos) {
    this.currentNanos = startNanos;
  }

  /** Returns a service whose clock starts at 0. */
  public static VirtualTimerService create() {
    return new VirtualTimerService(0);
  }

  /** Returns a service whose clock starts at {@code startNanos}. */
  public static VirtualTimerService startingAt(long startNanos) {
    return new VirtualTimerService(startNanos);
  }

  @Override
  public long nowNanos() {
    return currentNanos;
  }

  @Override
  public Subscription after(Duration delay, Runnable task) {
    checkArgument(!delay.isNegative(), "delay is negative: %s", delay);
    return add(delay.toNanos(), 0, task);
  }

  @Override
  public Subscription every(Duration period, Runnable task) {
    checkArgument(!period.isNegative() && !period.isZero(), "period is not positive: %s", period);
    return add(period.toNanos(), period.toNanos(), task);
  }

  /**
   * Advances the clock by {@code duration} and runs the tasks that become due, including tasks that
   * these schedule within {@code duration}.
   */
  public void advance(Duration duration) {
    checkArgument(!duration.isNegative(), "duration is negative: %s", duration);
    long end = currentNanos + duration.toNanos();
    while (!queue.isEmpty() && queue.peek().dueNanos - end <= 0) {
      runNext();
    }
    currentNanos = end;
  }

  /**
   * Advances the clock to the next due time and runs one task.
   *
   * @return false if no timer is pending
   */
  public boolean advanceToNext() {
    if (queue.isEmpty()) {
      return false;
    }
    runNext();
    return true;
  }

  /** Returns the number of pending timers. */
  public int pending() {
    return queue.size();
  }

  private Subscription add(long delayNanos, long periodNanos, Runnable task) {
    Timer timer = new Timer(checkNotNull(task, "task"), periodNanos);
    schedule(timer, currentNanos + delayNanos);
    return () -> cancel(timer);
  }

  private void schedule(Timer timer, long dueNanos) {
    timer.dueNanos = dueNanos;
    timer.sequence = nextSequence++;
    queue.add(timer);
  }

  private void cancel(Timer timer) {
    timer.isCancelled = true;
    queue.remove(timer);
  }

  private void runNext() {
    Timer timer = queue.remove();
    currentNanos = timer.dueNanos;
    timer.task.run();
    if (timer.periodNanos > 0 && !timer.isCancelled) {
      schedule(timer, timer.dueNanos + timer.periodNanos);
    }
  }

  private static final class Timer implements Comparable<Timer> {
    private final Runnable task;
    private final long periodNanos;
    private long dueNanos;
    private long sequence;
    private boolean isCancelled;

    private Timer(Runnable task, long periodNanos) {
      this.task = task;
      this.periodNanos = periodNanos;
    }

    @Override
    public int compareTo(Timer other) {
      int byTime = Long.signum(dueNanos - other.dueNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
