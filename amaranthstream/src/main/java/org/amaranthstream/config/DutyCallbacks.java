package org.amaranthstream.config;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.amaranthstream.ring.Duty;

/** Runs callbacks of futures on a duty. Thread safe. */
final class DutyCallbacks {
  private final Duty duty;

  DutyCallbacks(Duty duty) {
    this.duty = duty;
  }

  /**
   * Runs {@code action} on the duty with the value of {@code future}. If the duty's queue is full,
   * runs {@code ifRejected} on the thread that completed the future.
   */
  <T> void thenAccept(CompletableFuture<T> future, Consumer<T> action, Runnable ifRejected) {
    future.thenAccept(
        value -> {
          if (!duty.offer(() -> action.accept(value))) {
            ifRejected.run();
          }
        });
  }
}
