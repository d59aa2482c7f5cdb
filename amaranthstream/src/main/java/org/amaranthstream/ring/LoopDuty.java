package org.amaranthstream.ring;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Context;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A duty that runs on an event loop and bounds the number of queued tasks.
 *
 * <p>Thread safe. A {@link RuntimeException} of a task is logged and does not stop the duty.
 */
public final class LoopDuty implements Duty {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Context context;
  private final int capacity;
  private final AtomicInteger queuedTasks = new AtomicInteger();

  private LoopDuty(Context context, int capacity) {
    this.context = context;
    this.capacity = capacity;
  }

  /**
   * Returns a duty on the event loop of {@code context}.
   *
   * @param capacity the maximum number of queued tasks
   */
  public static LoopDuty on(Context context, int capacity) {
    checkArgument(context.isEventLoopContext(), "%s is not an event loop context", context);
    checkArgument(capacity > 0, "capacity is not positive: %s", capacity);
    return new LoopDuty(context, capacity);
  }

  @Override
  public boolean offer(Runnable task) {
    if (queuedTasks.incrementAndGet() > capacity) {
      queuedTasks.decrementAndGet();
      return false;
    }
    context.runOnContext(unused -> run(task));
    return true;
  }

  private void run(Runnable task) {
    queuedTasks.decrementAndGet();
    try {
      task.run();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("event=duty_task_failed duty=loop");
    }
  }
}
