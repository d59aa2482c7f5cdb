package org.amaranthstream.idempotency;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.amaranthstream.ring.Duty;
import org.amaranthstream.time.Subscription;
import org.amaranthstream.time.TimerService;

/**
 * An adapter that passes replies of asynchronous calls to the decision thread, and a substitute for
 * a reply that does not arrive before the timeout.
 */
final class ReplyAwaiter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Duty duty;
  private final TimerService timers;
  private final Duration timeout;

  ReplyAwaiter(Duty duty, TimerService timers, Duration timeout) {
    this.duty = duty;
    this.timers = timers;
    this.timeout = timeout;
  }

  /**
   * Calls {@code consumer} exactly once on the decision thread: with the reply, or with {@code
   * substitute} at the timeout if the reply has failed, was dropped or has not arrived.
   */
  <T> void await(CompletableFuture<T> reply, Supplier<T> substitute, Consumer<T> consumer) {
    OneShotConsumer<T> oneShot = new OneShotConsumer<>(consumer);
    oneShot.timer = timers.after(timeout, () -> oneShot.accept(substitute.get()));
    reply.whenComplete(
        (value, failure) -> {
          if (failure != null) {
            logger.atSevere().withCause(failure).log("event=reply_failed");
          } else if (!duty.offer(() -> oneShot.accept(value))) {
            logger.atWarning().log("event=reply_dropped reason=ring_full");
          }
        });
  }

  private static final class OneShotConsumer<T> {
    private final Consumer<T> consumer;
    private Subscription timer = () -> {};
    private boolean done;

    private OneShotConsumer(Consumer<T> consumer) {
      this.consumer = consumer;
    }

    private void accept(T value) {
      if (!done) {
        done = true;
        timer.cancel();
        consumer.accept(value);
      }
    }
  }
}
