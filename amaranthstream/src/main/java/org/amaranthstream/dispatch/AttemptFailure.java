package org.amaranthstream.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/**
 * An attempt that gave no whole answer.
 *
 * @param place where it ran
 * @param mayHaveRun false only if it is known not to have run
 * @param progressed true if it gave parts that are kept
 * @param heldNanos time for which it held a slot, in nanoseconds
 * @param error what was seen
 * @param retryAfter when to come back, if the place said so
 */
record AttemptFailure(
    String place,
    boolean mayHaveRun,
    boolean progressed,
    long heldNanos,
    ErrorDetail error,
    Optional<Duration> retryAfter) {

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

  static AttemptFailure notRun(
      String place, ResultCode code, String reason, Optional<Duration> retryAfter) {
    return new AttemptFailure(
        place, false, false, 0, ErrorDetail.of(code, place + ": " + reason), retryAfter);
  }
}
