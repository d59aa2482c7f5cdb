package org.amaranthstream.admission;

import java.time.Duration;
import org.amaranthstream.result.ErrorDetail;

/** Decision on one request, with its reason. */
public sealed interface AdmissionDecision {

  /**
   * The request enters; it is sent when a server has room.
   *
   * @param estimateNanos estimated time until it is answered, in nanoseconds
   */
  record Admit(long estimateNanos) implements AdmissionDecision {}

  /**
   * The request is refused at once.
   *
   * @param error the code and the figures that decided
   * @param retryAfter when to come back
   */
  record Refuse(ErrorDetail error, Duration retryAfter) implements AdmissionDecision {}
}
