package org.amaranthstream.dispatch;

import org.amaranthstream.result.ResultCode;

/**
 * Policy that decides whether a request is retried after an attempt without a complete response.
 * Implementations read no clock and have no side effects.
 */
@FunctionalInterface
public interface RetryPolicy {

  /** Decides on one request. */
  Decision decide(Input input);

  /**
   * The input of a decision.
   *
   * @param idempotent true if the request may run more than once
   * @param mayHaveRun true if this attempt or an earlier one may have run the request
   * @param progressed true if the attempt that ended produced tokens that the next one does not
   *     repeat
   * @param resumable true if another attempt can continue the response or start it again
   * @param attempts number of attempts that may have reached a server
   * @param refusals number of attempts that are known not to have run
   * @param maxAttempts maximum number of attempts that may reach a server
   * @param slackNanos time until the deadline, in nanoseconds
   * @param serviceNanos expected time of the rest of the response, in nanoseconds, 0 if not known
   * @param failure the code of the outcome if the request may have run and is not retried
   */
  record Input(
      boolean idempotent,
      boolean mayHaveRun,
      boolean progressed,
      boolean resumable,
      int attempts,
      int refusals,
      int maxAttempts,
      long slackNanos,
      long serviceNanos,
      ResultCode failure) {}

  /** A decision on one request, with its reason. */
  sealed interface Decision {

    /**
     * The request returns to the queue.
     *
     * @param chargesBudget true if the retry is charged to the class's retry budget
     * @param reason the values on which the decision is based
     */
    record Retry(boolean chargesBudget, String reason) implements Decision {}

    /**
     * The request fails.
     *
     * @param code the code of the outcome, of the 2xx group only if the request did not run
     * @param reason the values on which the decision is based
     */
    record GiveUp(ResultCode code, String reason) implements Decision {}
  }
}
