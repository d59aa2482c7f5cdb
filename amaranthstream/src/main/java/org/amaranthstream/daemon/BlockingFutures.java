package org.amaranthstream.daemon;

import io.vertx.core.Future;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** Waits, on threads that start and stop a daemon, for what happens on others. */
final class BlockingFutures {
  private static final long TIMEOUT_SECONDS = 30;

  private BlockingFutures() {}

  /** Waits for {@code future}; a failure becomes an {@code INTERNAL} error. */
  static <T> Result<Done> await(Future<T> future) {
    CountDownLatch done = new CountDownLatch(1);
    future.onComplete(unused -> done.countDown());
    try {
      if (!done.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        return Result.failure(ResultCode.INTERNAL, "no answer for " + TIMEOUT_SECONDS + " s");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Result.failure(ResultCode.INTERNAL, "interrupted");
    }
    return future.succeeded()
        ? Result.success(Done.DONE)
        : Result.failure(ResultCode.INTERNAL, String.valueOf(future.cause()));
  }

  /** The value of an action that has no other. */
  enum Done {
    DONE
  }
}
