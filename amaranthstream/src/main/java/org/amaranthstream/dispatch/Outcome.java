package org.amaranthstream.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.result.ErrorDetail;

/**
 * Final outcome of a request. {@link NotRun} and {@link OutcomeUnknown} are different types so that
 * the claim "not run" cannot be made by accident.
 */
public sealed interface Outcome {

  /**
   * The whole answer was given.
   *
   * @param answer the end of the answer
   */
  record Completed(CompletedResponse answer) implements Outcome {}

  /**
   * No byte of the request was handed to a connection, or the backend server itself said that it
   * did not run it.
   *
   * @param error a code of the 2xx group, and the reason
   * @param retryAfter when to come back, empty if coming back does not help
   */
  record NotRun(ErrorDetail error, Optional<Duration> retryAfter) implements Outcome {}

  /**
   * The request may have run, in part or whole, and its answer is not available.
   *
   * @param error a code of the 3xx or 5xx group, and the reason
   */
  record OutcomeUnknown(ErrorDetail error) implements Outcome {}
}
