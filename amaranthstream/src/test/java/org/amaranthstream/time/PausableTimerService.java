package org.amaranthstream.time;

import java.time.Duration;
import java.util.ArrayDeque;

/**
 * A timer service that simulates a VM that can be suspended. Its monotonic clock stops while the VM
 * is suspended, and tasks that become due meanwhile run after it resumes.
 */
public final class PausableTimerService implements TimerService {
  private final VirtualTimerService delegate;
  private final ArrayDeque<Runnable> overdueTasks = new ArrayDeque<>();
  private boolean isPaused;
  private long pausedAtNanos;
  private long totalPausedNanos;

  /** Creates a service that follows {@code delegate} while it is not paused. */
  public PausableTimerService(VirtualTimerService delegate) {
    this.delegate = delegate;
  }

  /** Suspends the VM. */
  public void pause() {
    isPaused = true;
    pausedAtNanos = delegate.nowNanos();
  }

  /**
   * Resumes the VM. Overdue tasks run when the delegate's clock next advances, so that the caller
   * can inspect the state first.
   */
  public void resume() {
    isPaused = false;
    totalPausedNanos += delegate.nowNanos() - pausedAtNanos;
    delegate.after(Duration.ZERO, this::runOverdueTasks);
  }

  private void runOverdueTasks() {
    while (!overdueTasks.isEmpty() && !isPaused) {
      overdueTasks.remove().run();
    }
  }

  /** Runs {@code task} at once, or after the VM has resumed if it is suspended. */
  public void runOrDefer(Runnable task) {
    if (isPaused) {
      overdueTasks.add(task);
    } else {
      task.run();
    }
  }

  @Override
  public long nowNanos() {
    return (isPaused ? pausedAtNanos : delegate.nowNanos()) - totalPausedNanos;
  }

  @Override
  public Subscription after(Duration delay, Runnable task) {
    return delegate.after(delay, () -> runOrDefer(task));
  }

  @Override
  public Subscription every(Duration period, Runnable task) {
    return delegate.every(period, () -> runOrDefer(task));
  }
}
