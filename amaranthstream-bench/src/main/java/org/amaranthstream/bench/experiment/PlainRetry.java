package org.amaranthstream.bench.experiment;

import org.amaranthstream.dispatch.RetryPolicy;
import org.amaranthstream.result.ResultCode;

/** Tries idempotent work, and work that did not run, a fixed number of times. */
final class PlainRetry implements RetryPolicy {
  private static final int MAX_REFUSALS = 3;

  @Override
  public Decision decide(Input input) {
    boolean unsafe = input.mayHaveRun() && (!input.idempotent() || !input.resumable());
    boolean exhausted = input.attempts() >= input.maxAttempts() || input.refusals() >= MAX_REFUSALS;
    if (unsafe || exhausted) {
      ResultCode code = input.mayHaveRun() ? input.failure() : ResultCode.NOT_RUN_NO_BACKEND;
      return new Decision.GiveUp(code, "attempt " + input.attempts());
    }
    return new Decision.Retry(false, "plain retry");
  }
}
