package org.amaranthstream.dispatch;

import org.amaranthstream.result.ResultCode;

/**
 * Policy that retries requests that did not run, and idempotent requests that may have run, as long
 * as the deadline can be met.
 *
 * <p>Immutable and thread safe.
 */
public final class IdempotentRetry implements RetryPolicy {
  /** Number of attempts known not to have run after which a request is not retried again. */
  private static final int MAX_REFUSALS = 16;

  private static final double NANOS_PER_MILLI = 1e6;

  private IdempotentRetry() {}

  /** Returns the policy. */
  public static IdempotentRetry create() {
    return new IdempotentRetry();
  }

  @Override
  public Decision decide(Input input) {
    if (input.mayHaveRun() && !input.idempotent()) {
      return new Decision.GiveUp(input.failure(), "not idempotent and it may have run");
    }
    if (input.mayHaveRun() && !input.resumable()) {
      return new Decision.GiveUp(
          input.failure(), "parts of an unknown weight version were passed on");
    }
    if (input.slackNanos() <= input.serviceNanos()) {
      return giveUpForDeadline(input);
    }
    if (input.attempts() >= input.maxAttempts()) {
      return new Decision.GiveUp(
          input.failure(), "attempt " + input.attempts() + " of " + input.maxAttempts());
    }
    if (input.refusals() >= MAX_REFUSALS) {
      ResultCode code = input.mayHaveRun() ? input.failure() : ResultCode.NOT_RUN_NO_BACKEND;
      return new Decision.GiveUp(code, "refused " + input.refusals() + " times");
    }
    return new Decision.Retry(
        input.mayHaveRun() && !input.progressed(),
        String.format("%.0f ms left", input.slackNanos() / NANOS_PER_MILLI));
  }

  private static Decision giveUpForDeadline(Input input) {
    ResultCode code =
        input.mayHaveRun() ? ResultCode.OUTCOME_UNKNOWN_DEADLINE : ResultCode.NOT_RUN_DEADLINE;
    return new Decision.GiveUp(
        code,
        String.format(
            "%.0f ms left, the rest takes %.0f ms",
            input.slackNanos() / NANOS_PER_MILLI, input.serviceNanos() / NANOS_PER_MILLI));
  }
}
