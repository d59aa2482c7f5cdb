package org.amaranthstream.config;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.amaranthstream.ring.Duty;

/** Brings replies of other threads to the keeper's duty. */
final class DutyCallbacks {
  private final Duty duty;

  DutyCallbacks(Duty duty) {
    this.duty = duty;
  }

  /** Runs {@code action} on the duty with the reply, or {@code ifFull} at once. */
  <T> void on(CompletableFuture<T> reply, Consumer<T> action, Runnable ifFull) {
    reply.thenAccept(
        value -> {
          if (!duty.offer(() -> action.accept(value))) {
            ifFull.run();
          }
        });
  }
}
