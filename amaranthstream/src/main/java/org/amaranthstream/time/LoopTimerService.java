package org.amaranthstream.time;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.Duration;

/**
 * A timer service whose tasks run on one event loop.
 *
 * <p>Not thread safe: create and cancel subscriptions on that event loop only. Delays are rounded
 * up to whole milliseconds.
 *
 * <pre>{@code
 * TimerService timers = LoopTimerService.on(vertx, vertx.getOrCreateContext());
 * }</pre>
 */
public final class LoopTimerService implements TimerService {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Vertx vertx;
  private final Context context;

  private LoopTimerService(Vertx vertx, Context context) {
    this.vertx = vertx;
    this.context = context;
  }

  /** Returns a timer service for the event loop of {@code context}. */
  public static LoopTimerService on(Vertx vertx, Context context) {
    checkArgument(context.isEventLoopContext(), "%s is not an event loop context", context);
    return new LoopTimerService(checkNotNull(vertx, "vertx"), context);
  }

  @Override
  public long nowNanos() {
    return System.nanoTime();
  }

  @Override
  public Subscription after(Duration delay, Runnable task) {
    checkNotNull(task, "task");
    checkArgument(!delay.isNegative(), "delay is negative: %s", delay);
    if (delay.isZero()) {
      return runWithoutDelay(task);
    }
    long id = vertx.setTimer(toMillisRoundedUp(delay), unused -> task.run());
    return () -> vertx.cancelTimer(id);
  }

  private Subscription runWithoutDelay(Runnable task) {
    boolean[] isCancelled = new boolean[1];
    context.runOnContext(
        unused -> {
          if (!isCancelled[0]) {
            task.run();
          }
        });
    return () -> isCancelled[0] = true;
  }

  @Override
  public Subscription every(Duration period, Runnable task) {
    checkNotNull(task, "task");
    checkArgument(!period.isNegative() && !period.isZero(), "period is not positive: %s", period);
    long id = vertx.setPeriodic(toMillisRoundedUp(period), unused -> task.run());
    return () -> vertx.cancelTimer(id);
  }

  private static long toMillisRoundedUp(Duration delay) {
    return (delay.toNanos() + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
  }
}
