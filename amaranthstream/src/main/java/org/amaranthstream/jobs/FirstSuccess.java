package org.amaranthstream.jobs;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/**
 * Collector of several asynchronous results that completes with the first success. Used on one
 * thread.
 */
final class FirstSuccess<T> {
  private final CompletableFuture<Result<T>> response = new CompletableFuture<>();
  private int remaining;

  private FirstSuccess(int remaining) {
    this.remaining = remaining;
  }

  /**
   * Returns the first success, or the last failure if none succeeds. Without any response, the
   * result is {@code PEER_UNREACHABLE}.
   */
  static <T> CompletableFuture<Result<T>> of(List<CompletableFuture<Result<T>>> responses) {
    FirstSuccess<T> first = new FirstSuccess<>(responses.size());
    if (responses.isEmpty()) {
      first.response.complete(Result.failure(ResultCode.PEER_UNREACHABLE, "there is no peer"));
    }
    responses.forEach(one -> one.thenAccept(first::onResponse));
    return first.response;
  }

  private void onResponse(Result<T> result) {
    remaining--;
    if (result instanceof Result.Success || remaining == 0) {
      response.complete(result);
    }
  }
}
