package org.amaranthstream.ingress;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/**
 * A consumer that writes a result, which another thread may pass, as the response to a request.
 *
 * @param <T> type of the value
 */
final class ResultResponder<T> implements Consumer<Result<T>> {
  private static final Duration RETRY_AFTER = Duration.ofMillis(500);

  private final Context context;
  private final HttpServerResponse response;
  private final int status;
  private final Function<T, Object> body;

  private ResultResponder(
      Context context, HttpServerResponse response, int status, Function<T, Object> body) {
    this.context = context;
    this.response = response;
    this.status = status;
    this.body = body;
  }

  /** Returns a responder that writes to {@code response} on the current event loop. */
  static <T> ResultResponder<T> of(
      HttpServerResponse response, int status, Function<T, Object> body) {
    return new ResultResponder<>(Vertx.currentContext(), response, status, body);
  }

  @Override
  public void accept(Result<T> result) {
    context.runOnContext(unused -> write(result));
  }

  private void write(Result<T> result) {
    if (result instanceof Result.Success<T> success) {
      IngressResponses.json(response, status, body.apply(success.value()));
    } else {
      ErrorDetail error = ((Result.Failure<T>) result).error();
      IngressResponses.error(response, error, Optional.empty(), retryAfter(error.code()));
    }
  }

  private static Optional<Duration> retryAfter(ResultCode code) {
    return code.httpStatus() == ResultCode.NOT_RUN_OVERLOADED.httpStatus()
        ? Optional.of(RETRY_AFTER)
        : Optional.empty();
  }
}
