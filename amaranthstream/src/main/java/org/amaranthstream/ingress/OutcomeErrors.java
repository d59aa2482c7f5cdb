package org.amaranthstream.ingress;

import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.dispatch.Outcome;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.result.ErrorDetail;

/** Static methods that convert outcomes other than completed ones to error responses. */
final class OutcomeErrors {
  private OutcomeErrors() {}

  /**
   * Writes {@code outcome} as an error response.
   *
   * @throws IllegalArgumentException if the outcome is a completed one
   */
  static void writeError(HttpServerResponse response, RequestId id, Outcome outcome) {
    IngressResponses.error(response, errorOf(outcome), Optional.of(id), retryAfterOf(outcome));
  }

  /**
   * Returns the error body of {@code outcome}, for the last line of a streamed response.
   *
   * @throws IllegalArgumentException if the outcome is a completed one
   */
  static ErrorBody errorBody(RequestId id, Outcome outcome) {
    return IngressResponses.errorBody(errorOf(outcome), Optional.of(id), retryAfterOf(outcome));
  }

  private static ErrorDetail errorOf(Outcome outcome) {
    if (outcome instanceof Outcome.NotRun notRun) {
      return notRun.error();
    }
    if (outcome instanceof Outcome.OutcomeUnknown unknown) {
      return unknown.error();
    }
    throw new IllegalArgumentException("expected an outcome that is not completed, was " + outcome);
  }

  private static Optional<Duration> retryAfterOf(Outcome outcome) {
    return outcome instanceof Outcome.NotRun notRun ? notRun.retryAfter() : Optional.empty();
  }
}
