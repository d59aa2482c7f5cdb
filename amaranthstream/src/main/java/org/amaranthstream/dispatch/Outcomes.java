package org.amaranthstream.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/** Makes outcomes whose type is true to what is known to have run. */
final class Outcomes {
  private static final int FIRST_NOT_RUN = 200;
  private static final int FIRST_OUTCOME_UNKNOWN = 300;

  private Outcomes() {}

  /** Returns the outcome of a request without a whole answer. */
  static Outcome of(boolean mayHaveRun, ErrorDetail error, Optional<Duration> retryAfter) {
    if (mayHaveRun) {
      return new Outcome.OutcomeUnknown(
          withCode(error, !isNotRun(error.code()), ResultCode.OUTCOME_UNKNOWN_BACKEND_LOST));
    }
    return new Outcome.NotRun(
        withCode(error, isNotRun(error.code()), ResultCode.NOT_RUN_NO_BACKEND), retryAfter);
  }

  private static boolean isNotRun(ResultCode code) {
    return code.number() >= FIRST_NOT_RUN && code.number() < FIRST_OUTCOME_UNKNOWN;
  }

  private static ErrorDetail withCode(ErrorDetail error, boolean fits, ResultCode otherwise) {
    return fits ? error : ErrorDetail.of(otherwise, error.message());
  }
}
