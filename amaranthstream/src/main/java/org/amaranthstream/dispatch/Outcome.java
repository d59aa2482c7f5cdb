package org.amaranthstream.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.result.ErrorDetail;

/**
 * The final outcome of a request.
 *
 * <p>{@link NotRun} and {@link OutcomeUnknown} are separate types so that a request that may have
 * run is not reported as "not run" by mistake.
 */
public sealed interface Outcome {

  /**
   * The complete response was passed to the listener.
   *
   * @param answer the end of the response
   */
  record Completed(CompletedResponse answer) implements Outcome {}

  /**
   * The request did not run: none of its bytes were written to a connection, or the backend server
   * reported that it did not run it.
   *
   * @param error a code of the 2xx group, and the reason
   * @param retryAfter time after which a retry may succeed, empty if a retry does not help
   */
  record NotRun(ErrorDetail error, Optional<Duration> retryAfter) implements Outcome {}

  /**
   * The request may have run, partly or completely, and its response is not available.
   *
   * @param error a code of the 3xx or 5xx group, and the reason
   */
  record OutcomeUnknown(ErrorDetail error) implements Outcome {}
}
