package org.amaranthstream.time;

import java.time.Duration;

/**
 * Monotonic time and timers that parts subscribe to.
 *
 * <p>Implementations run the tasks of one service one after another on one thread. The real service
 * hands each task to the duty that subscribed; tests use a virtual clock.
 *
 * <pre>{@code
 * Subscription tick = timers.every(Duration.ofSeconds(1), this::pollBackendServers);
 * ...
 * tick.cancel();
 * }</pre>
 */
public interface TimerService {

  /** Returns the monotonic time in nanoseconds; only differences have a meaning. */
  long nowNanos();

  /** Runs {@code task} once after {@code delay}. */
  Subscription after(Duration delay, Runnable task);

  /** Runs {@code task} every {@code period}, first after one period. */
  Subscription every(Duration period, Runnable task);
}
