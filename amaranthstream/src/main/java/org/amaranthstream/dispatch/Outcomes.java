package org.amaranthstream.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/** Factory of outcomes whose type and code agree with whether the request may have run. */
final class Outcomes {
  private static final int FIRST_NOT_RUN = 200;
  private static final int FIRST_OUTCOME_UNKNOWN = 300;

  private Outcomes() {}

  /** Returns the outcome of a request that did not get its complete response. */
  static Outcome of(boolean mayHaveRun, ErrorDetail error, Optional<Duration> retryAfter) {
    ErrorDetail corrected = withMatchingCode(mayHaveRun, error);
    return mayHaveRun
        ? new Outcome.OutcomeUnknown(corrected)
        : new Outcome.NotRun(corrected, retryAfter);
  }

  /**
   * Returns {@code error} with a code of the "not run" group (2xx) if and only if the request did
   * not run. A code of the wrong group is replaced; the message is kept.
   */
  static ErrorDetail withMatchingCode(boolean mayHaveRun, ErrorDetail error) {
    return mayHaveRun
        ? withCode(error, !isNotRun(error.code()), ResultCode.OUTCOME_UNKNOWN_BACKEND_LOST)
        : withCode(error, isNotRun(error.code()), ResultCode.NOT_RUN_NO_BACKEND);
  }

  private static boolean isNotRun(ResultCode code) {
    return code.number() >= FIRST_NOT_RUN && code.number() < FIRST_OUTCOME_UNKNOWN;
  }

  private static ErrorDetail withCode(ErrorDetail error, boolean fits, ResultCode replacement) {
    return fits ? error : ErrorDetail.of(replacement, error.message());
  }
}
