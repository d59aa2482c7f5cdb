package org.amaranthstream.time;

import java.time.Duration;
import java.util.ArrayDeque;

/**
 * Timers of a VM that can be suspended: its monotonic clock stands still meanwhile, and what became
 * due runs when it is resumed.
 */
public final class PausableTimerService implements TimerService {
  private final VirtualTimerService world;
  private final ArrayDeque<Runnable> due = new ArrayDeque<>();
  private boolean isPaused;
  private long pausedAtNanos;
  private long lostNanos;

  /** Creates timers that follow {@code world} while they are not paused. */
  public PausableTimerService(VirtualTimerService world) {
    this.world = world;
  }

  /** Suspends the VM. */
  public void pause() {
    isPaused = true;
    pausedAtNanos = world.nowNanos();
  }

  /** Resumes the VM, without running what became due before the caller has looked. */
  public void resume() {
    isPaused = false;
    lostNanos += world.nowNanos() - pausedAtNanos;
    world.after(Duration.ZERO, this::runDue);
  }

  private void runDue() {
    while (!due.isEmpty() && !isPaused) {
      due.remove().run();
    }
  }

  private void fire(Runnable task) {
    if (isPaused) {
      due.add(task);
    } else {
      task.run();
    }
  }

  @Override
  public long nowNanos() {
    return (isPaused ? pausedAtNanos : world.nowNanos()) - lostNanos;
  }

  @Override
  public Subscription after(Duration delay, Runnable task) {
    return world.after(delay, () -> fire(task));
  }

  @Override
  public Subscription every(Duration period, Runnable task) {
    return world.every(period, () -> fire(task));
  }
}
