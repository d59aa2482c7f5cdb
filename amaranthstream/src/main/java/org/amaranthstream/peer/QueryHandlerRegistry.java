package org.amaranthstream.peer;

import static com.google.common.base.Preconditions.checkState;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** Registry of the query handlers, by kind of query. Thread safe. */
final class QueryHandlerRegistry {
  private final Map<Integer, QueryHandler> handlers = new ConcurrentHashMap<>();

  void register(QueryKind kind, QueryHandler handler) {
    QueryHandler existing = handlers.putIfAbsent(kind.number(), handler);
    checkState(existing == null, "query kind %s already has a handler", kind);
  }

  /**
   * Passes a query to its handler. If the handler throws or fails, the result is an internal error.
   */
  CompletableFuture<Result<byte[]>> handle(int kind, LocalVm from, byte[] body, Duration timeout) {
    QueryHandler handler = handlers.get(kind);
    if (handler == null) {
      return CompletableFuture.completedFuture(
          Result.failure(ResultCode.INVALID_REQUEST, "no handler for query kind " + kind));
    }
    try {
      return handler
          .handle(from, body, timeout)
          .exceptionally(e -> Result.failure(ResultCode.INTERNAL, e.toString()))
          .thenApply(QueryHandlerRegistry::replaceNotSentCodes);
    } catch (RuntimeException e) {
      return CompletableFuture.completedFuture(Result.failure(ResultCode.INTERNAL, e.toString()));
    }
  }

  /** Replaces codes that mean "not sent" by an internal error, because the query has arrived. */
  private static Result<byte[]> replaceNotSentCodes(Result<byte[]> result) {
    if (result instanceof Result.Failure<byte[]> failure
        && PeerQueryService.isNotSent(failure.error().code())) {
      return Result.failure(ErrorDetail.of(ResultCode.INTERNAL, failure.error().toString()));
    }
    return result;
  }
}
