package org.amaranthstream.time;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.ring.Duty;

/**
 * The timers of a process: one thread that hands each task to the duty that subscribed.
 *
 * <p>Thread safe.
 *
 * <pre>{@code
 * SystemTimerService timers = SystemTimerService.start("timers");
 * TimerService decisionTimers = timers.forDuty(decisionThread);
 * decisionTimers.after(Duration.ofMillis(50), queue::expire);
 * }</pre>
 */
public final class SystemTimerService implements AutoCloseable {
  private final ScheduledThreadPoolExecutor executor;

  private SystemTimerService(String threadName) {
    this.executor =
        new ScheduledThreadPoolExecutor(
            1, new ThreadFactoryBuilder().setNameFormat(threadName).setDaemon(true).build());
    this.executor.setRemoveOnCancelPolicy(true);
    this.executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  /** Starts the timer thread. */
  public static SystemTimerService start(String threadName) {
    return new SystemTimerService(checkNotNull(threadName, "threadName"));
  }

  /**
   * Returns the timers of one duty: their tasks run on that duty.
   *
   * <p>A one-time task that finds the duty's ring full is offered again a little later. A turn of a
   * periodic task is skipped while the turn before it still waits or the ring is full.
   */
  public TimerService forDuty(Duty duty) {
    return new DutyTimerService(executor, checkNotNull(duty, "duty"));
  }

  /** Stops the thread; tasks that wait are dropped. */
  @Override
  public void close() {
    executor.shutdownNow();
  }

  /** Waits until the thread has stopped, at most {@code seconds}. */
  boolean awaitStopped(long seconds) throws InterruptedException {
    return executor.awaitTermination(seconds, TimeUnit.SECONDS);
  }
}
