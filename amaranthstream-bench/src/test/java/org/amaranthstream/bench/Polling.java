package org.amaranthstream.bench;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for a condition, with a bound that only a test that has failed reaches. */
public final class Polling {
  private static final long PERIOD_MS = 20;
  private static final long BOUND_SECONDS = 60;

  private Polling() {}

  /** Returns once {@code condition} holds. */
  public static void until(String what, BooleanSupplier condition) {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(BOUND_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - endNanos > 0) {
        throw new AssertionError("no " + what + " for " + BOUND_SECONDS + " s");
      }
      pause();
    }
  }

  private static void pause() {
    try {
      boolean unused = new CountDownLatch(1).await(PERIOD_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError("interrupted", e);
    }
  }
}
