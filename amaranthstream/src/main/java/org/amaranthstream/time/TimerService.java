package org.amaranthstream.time;

import java.time.Duration;

/**
 * A monotonic clock with one-time and periodic timers.
 *
 * <p>The tasks of one service run sequentially on one thread: in production a duty's thread or an
 * event loop, in tests the thread that advances a virtual clock.
 *
 * <pre>{@code
 * Subscription tick = timers.every(Duration.ofSeconds(1), this::pollBackendServers);
 * ...
 * tick.cancel();
 * }</pre>
 */
public interface TimerService {

  /** Returns the monotonic time in nanoseconds. Only differences are meaningful. */
  long nowNanos();

  /** Runs {@code task} once after {@code delay}. */
  Subscription after(Duration delay, Runnable task);

  /** Runs {@code task} every {@code period}, for the first time after one period. */
  Subscription every(Duration period, Runnable task);
}
