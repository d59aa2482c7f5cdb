package org.amaranthstream.peer;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.amaranthstream.ring.Duty;

/** A duty whose tasks the test's own thread runs, so that time moves only between them. */
final class ManualDuty implements Duty {
  private static final int WAIT_SECONDS = 20;

  private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();

  @Override
  public boolean offer(Runnable task) {
    return tasks.offer(task);
  }

  /** Runs tasks as they come until {@code condition} holds. */
  void runUntil(String what, BooleanSupplier condition) {
    while (!condition.getAsBoolean()) {
      Runnable task = await();
      assertWithMessage("waited in vain for: %s", what).that(task).isNotNull();
      task.run();
    }
  }

  /** Waits for one task and runs it. */
  void runNext() {
    Runnable task = await();
    assertWithMessage("next task").that(task).isNotNull();
    task.run();
  }

  private Runnable await() {
    try {
      return tasks.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }
}
