package org.amaranthstream.daemon;

import io.vertx.core.Future;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** Static methods that block the thread that starts or stops a daemon until a future completes. */
final class BlockingFutures {
  private static final long TIMEOUT_SECONDS = 30;

  private BlockingFutures() {}

  /**
   * Waits until {@code future} completes.
   *
   * @return success, or an {@code INTERNAL} error if the future fails, the wait exceeds 30 s or the
   *     thread is interrupted
   */
  static <T> Result<Done> await(Future<T> future) {
    CountDownLatch done = new CountDownLatch(1);
    future.onComplete(unused -> done.countDown());
    try {
      if (!done.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        return Result.failure(
            ResultCode.INTERNAL, "not completed within " + TIMEOUT_SECONDS + " s");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Result.failure(ResultCode.INTERNAL, "interrupted while waiting for completion");
    }
    return future.succeeded()
        ? Result.success(Done.DONE)
        : Result.failure(ResultCode.INTERNAL, String.valueOf(future.cause()));
  }

  /** The value of a wait that succeeded. */
  enum Done {
    DONE
  }
}
