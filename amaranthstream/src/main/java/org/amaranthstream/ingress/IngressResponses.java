package org.amaranthstream.ingress;

import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.result.ErrorDetail;
import org.jspecify.annotations.Nullable;

/** Static methods that write the HTTP responses to callers and trainers. */
final class IngressResponses {
  static final String JSON = "application/json";
  static final String REQUEST_ID_HEADER = "Request-Id";

  private IngressResponses() {}

  /** Writes {@code body} as JSON, unless the response has ended or the connection is closed. */
  static void json(HttpServerResponse response, int status, Object body) {
    if (response.ended() || response.closed()) {
      return;
    }
    response.setStatusCode(status).putHeader("Content-Type", JSON).end(JsonBodies.write(body));
  }

  /** Writes {@code error} as JSON, with the HTTP status of its code. */
  static void error(
      HttpServerResponse response,
      ErrorDetail error,
      Optional<RequestId> request,
      Optional<Duration> retryAfter) {
    if (response.ended() || response.closed()) {
      return;
    }
    retryAfter.ifPresent(
        after -> response.putHeader("Retry-After", Long.toString(secondsRoundedUp(after))));
    json(response, error.code().httpStatus(), errorBody(error, request, retryAfter));
  }

  static ErrorBody errorBody(
      ErrorDetail error, Optional<RequestId> request, Optional<Duration> retryAfter) {
    @Nullable String id = request.map(RequestId::toString).orElse(null);
    @Nullable Long millis = retryAfter.map(Duration::toMillis).orElse(null);
    return ErrorBody.of(error, id, millis);
  }

  private static long secondsRoundedUp(Duration duration) {
    return Math.max(1, duration.plusMillis(999).toSeconds());
  }
}
