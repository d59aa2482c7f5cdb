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

/** Who answers which kind of query. Thread safe. */
final class QueryHandlers {
  private final Map<Integer, QueryHandler> handlers = new ConcurrentHashMap<>();

  void register(QueryKind kind, QueryHandler handler) {
    QueryHandler before = handlers.putIfAbsent(kind.number(), handler);
    checkState(before == null, "query kind %s has a handler already", kind);
  }

  /** Answers a query; a handler that throws or fails gives an internal error. */
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
          .thenApply(QueryHandlers::withoutTransportCodes);
    } catch (RuntimeException e) {
      return CompletableFuture.completedFuture(Result.failure(ResultCode.INTERNAL, e.toString()));
    }
  }

  /** Keeps codes that mean "not sent" out of answers: the query did arrive. */
  private static Result<byte[]> withoutTransportCodes(Result<byte[]> result) {
    if (result instanceof Result.Failure<byte[]> failure
        && PeerQuery.isNotSent(failure.error().code())) {
      return Result.failure(ErrorDetail.of(ResultCode.INTERNAL, failure.error().toString()));
    }
    return result;
  }
}
