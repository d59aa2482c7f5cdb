package org.amaranthstream.admission;

import java.time.Duration;
import org.amaranthstream.result.ErrorDetail;

/** Decision whether to admit a request, with its reason. */
public sealed interface AdmissionDecision {

  /**
   * The request is admitted. It is sent when a server has capacity.
   *
   * @param estimateNanos estimated time until the response, in nanoseconds
   */
  record Admit(long estimateNanos) implements AdmissionDecision {}

  /**
   * The request is refused immediately.
   *
   * @param error the result code, and the values that led to it
   * @param retryAfter time after which the caller may retry
   */
  record Refuse(ErrorDetail error, Duration retryAfter) implements AdmissionDecision {}
}
