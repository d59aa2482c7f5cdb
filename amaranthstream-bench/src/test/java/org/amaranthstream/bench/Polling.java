package org.amaranthstream.bench;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Polling of conditions in tests. The timeout is so long that only a failing test reaches it. */
public final class Polling {
  private static final long POLL_INTERVAL_MS = 20;
  private static final long TIMEOUT_SECONDS = 60;

  private Polling() {}

  /**
   * Waits until {@code condition} holds.
   *
   * @param expected noun phrase for what is awaited, for the message of the error
   * @throws AssertionError if the condition does not hold within 60 s
   */
  public static void until(String expected, BooleanSupplier condition) {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - endNanos > 0) {
        throw new AssertionError("no " + expected + " within " + TIMEOUT_SECONDS + " s");
      }
      pause();
    }
  }

  private static void pause() {
    try {
      boolean unused = new CountDownLatch(1).await(POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError("interrupted", e);
    }
  }
}
