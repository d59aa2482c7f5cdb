package org.amaranthstream.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/**
 * An attempt that ended without a complete response.
 *
 * @param place the server or availability zone of the attempt
 * @param mayHaveRun false only if the request is known not to have run
 * @param progressed true if the attempt delivered chunks that need not be generated again
 * @param heldNanos time for which the attempt occupied a slot, in nanoseconds
 * @param error result code and message of the failure
 * @param retryAfter the delay that the server or zone requested before a retry, if any
 */
record AttemptFailure(
    String place,
    boolean mayHaveRun,
    boolean progressed,
    long heldNanos,
    ErrorDetail error,
    Optional<Duration> retryAfter) {

  /** Returns the failure of an attempt that may have run the request. */
  static AttemptFailure ran(
      String place, boolean progressed, long heldNanos, ResultCode code, String reason) {
    return new AttemptFailure(
        place,
        true,
        progressed,
        heldNanos,
        ErrorDetail.of(code, place + ": " + reason),
        Optional.empty());
  }

  /** Returns the failure of an attempt that did not run the request. */
  static AttemptFailure notRun(
      String place, ResultCode code, String reason, Optional<Duration> retryAfter) {
    return new AttemptFailure(
        place, false, false, 0, ErrorDetail.of(code, place + ": " + reason), retryAfter);
  }
}
