package org.amaranthstream.time;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.ring.Duty;

/**
 * A source of timers for a whole process. One thread offers each due task to its duty.
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

  /** Returns a service with a timer thread named {@code threadName}. */
  public static SystemTimerService start(String threadName) {
    return new SystemTimerService(checkNotNull(threadName, "threadName"));
  }

  /**
   * Returns a timer service whose tasks run on {@code duty}.
   *
   * <p>If the duty's ring buffer is full, a one-time task is offered again after a short delay. A
   * run of a periodic task is skipped if the previous run is still queued or the ring buffer is
   * full.
   */
  public TimerService forDuty(Duty duty) {
    return new DutyTimerService(executor, checkNotNull(duty, "duty"));
  }

  /** Stops the timer thread and discards pending tasks. */
  @Override
  public void close() {
    executor.shutdownNow();
  }

  /**
   * Waits until the timer thread has stopped.
   *
   * @return false if it has not stopped within {@code seconds}
   */
  boolean awaitStopped(long seconds) throws InterruptedException {
    return executor.awaitTermination(seconds, TimeUnit.SECONDS);
  }
}
