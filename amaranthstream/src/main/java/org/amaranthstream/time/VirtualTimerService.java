package org.amaranthstream.time;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.PriorityQueue;

/**
 * Timers on a virtual clock that moves only when its owner moves it, for tests and simulations.
 *
 * <p>Tasks run on the thread that moves the clock, ordered by time and, at the same time, by
 * subscription. Not thread safe.
 *
 * <pre>{@code
 * VirtualTimerService timers = VirtualTimerService.create();
 * timers.after(Duration.ofMillis(5), task);
 * timers.advance(Duration.ofMillis(5)); // runs task
 * }</pre>
 */
public final class VirtualTimerService implements TimerService {
  private final PriorityQueue<Timer> queue = new PriorityQueue<>();
  private long now;
  private long nextSequence;

  private VirtualTimerService(long startNanos) {
    this.now = startNanos;
  }

  /** Returns a clock at 0. */
  public static VirtualTimerService create() {
    return new VirtualTimerService(0);
  }

  /** Returns a clock at {@code startNanos}. */
  public static VirtualTimerService startingAt(long startNanos) {
    return new VirtualTimerService(startNanos);
  }

  @Override
  public long nowNanos() {
    return now;
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

  /** Moves the clock forward by {@code duration} and runs what becomes due, also what that adds. */
  public void advance(Duration duration) {
    checkArgument(!duration.isNegative(), "duration is negative: %s", duration);
    long end = now + duration.toNanos();
    while (!queue.isEmpty() && queue.peek().dueNanos - end <= 0) {
      runNext();
    }
    now = end;
  }

  /**
   * Moves the clock to the next timer and runs it.
   *
   * @return false if no timer waits
   */
  public boolean advanceToNext() {
    if (queue.isEmpty()) {
      return false;
    }
    runNext();
    return true;
  }

  /** Returns the number of timers that wait. */
  public int pending() {
    return queue.size();
  }

  private Subscription add(long delayNanos, long periodNanos, Runnable task) {
    Timer timer = new Timer(checkNotNull(task, "task"), periodNanos);
    schedule(timer, now + delayNanos);
    return () -> cancel(timer);
  }

  private void schedule(Timer timer, long dueNanos) {
    timer.dueNanos = dueNanos;
    timer.sequence = nextSequence++;
    queue.add(timer);
  }

  private void cancel(Timer timer) {
    timer.cancelled = true;
    queue.remove(timer);
  }

  private void runNext() {
    Timer timer = queue.remove();
    now = timer.dueNanos;
    timer.task.run();
    if (timer.periodNanos > 0 && !timer.cancelled) {
      schedule(timer, timer.dueNanos + timer.periodNanos);
    }
  }

  private static final class Timer implements Comparable<Timer> {
    private final Runnable task;
    private final long periodNanos;
    private long dueNanos;
    private long sequence;
    private boolean cancelled;

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
