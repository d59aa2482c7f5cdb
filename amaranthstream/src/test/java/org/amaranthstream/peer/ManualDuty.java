package org.amaranthstream.peer;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.amaranthstream.ring.Duty;

/**
 * Duty that queues its tasks until the test thread runs them, so that virtual time advances only
 * between tasks.
 */
final class ManualDuty implements Duty {
  private static final int TIMEOUT_SECONDS = 20;

  private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();

  @Override
  public boolean offer(Runnable task) {
    return tasks.offer(task);
  }

  /** Runs queued tasks until {@code condition} holds; {@code description} names it in a failure. */
  void runUntil(String description, BooleanSupplier condition) {
    while (!condition.getAsBoolean()) {
      Runnable task = await();
      assertWithMessage("timed out waiting for: %s", description).that(task).isNotNull();
      task.run();
    }
  }

  /** Waits for the next task and runs it. */
  void runNext() {
    Runnable task = await();
    assertWithMessage("next task").that(task).isNotNull();
    task.run();
  }

  private Runnable await() {
    try {
      return tasks.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }
}
