package org.amaranthstream.config;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.amaranthstream.time.Subscription;
import org.amaranthstream.time.TimerService;

/** A timer service whose time moves only by {@link #advance}. */
final class ManualTimers implements TimerService {
  private final PriorityQueue<Timer> queue =
      new PriorityQueue<>(
          Comparator.comparingLong((Timer timer) -> timer.dueNanos)
              .thenComparingLong(timer -> timer.order));
  private long nowNanos;
  private long order;

  private final class Timer implements Subscription {
    private final long dueNanos;
    private final long order;
    private final Runnable task;
    private boolean cancelled;

    private Timer(long dueNanos, Runnable task) {
      this.dueNanos = dueNanos;
      this.order = ManualTimers.this.order++;
      this.task = task;
    }

    @Override
    public void cancel() {
      cancelled = true;
    }
  }

  @Override
  public long nowNanos() {
    return nowNanos;
  }

  @Override
  public Subscription after(Duration delay, Runnable task) {
    Timer timer = new Timer(nowNanos + delay.toNanos(), task);
    queue.add(timer);
    return timer;
  }

  @Override
  public Subscription every(Duration period, Runnable task) {
    boolean[] cancelled = {false};
    repeat(period, task, cancelled);
    return () -> cancelled[0] = true;
  }

  private void repeat(Duration period, Runnable task, boolean[] cancelled) {
    Runnable once =
        () -> {
          if (!cancelled[0]) {
            repeat(period, task, cancelled);
            task.run();
          }
        };
    after(period, once);
  }

  /** Moves the time on and runs what falls due, in order. */
  void advance(Duration duration) {
    long end = nowNanos + duration.toNanos();
    while (!queue.isEmpty() && queue.peek().dueNanos <= end) {
      Timer timer = queue.remove();
      nowNanos = timer.dueNanos;
      if (!timer.cancelled) {
        timer.task.run();
      }
    }
    nowNanos = end;
  }
}
