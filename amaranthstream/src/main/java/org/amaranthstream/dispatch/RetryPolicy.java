package org.amaranthstream.dispatch;

import org.amaranthstream.result.ResultCode;

/** Decides whether a request whose attempt ended is tried again. Pure: no clock, no effect. */
@FunctionalInterface
public interface RetryPolicy {

  /** Decides on one request. */
  Decision decide(Input input);

  /**
   * What a decision rests on.
   *
   * @param idempotent true if the request may run more than once
   * @param mayHaveRun true if this attempt or an earlier one may have run it
   * @param progressed true if the attempt that ended gave parts that are kept
   * @param resumable true if another attempt can continue the answer or start it anew
   * @param attempts attempts that may have reached a server
   * @param refusals attempts that are known not to have run
   * @param maxAttempts attempts that may reach a server
   * @param slackNanos time until the deadline, in nanoseconds
   * @param serviceNanos expected time of the rest of the answer, in nanoseconds, 0 if not known
   * @param failure the code of the outcome if the request is given up and may have run
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

  /** Decision on one request, with its reason. */
  sealed interface Decision {

    /**
     * The request goes back to the queue.
     *
     * @param chargesBudget true if the retry counts against the class's budget
     * @param reason the figures that decided
     */
    record Retry(boolean chargesBudget, String reason) implements Decision {}

    /**
     * The request gets its outcome now.
     *
     * @param code the code, of the 2xx group only if the request did not run
     * @param reason the figures that decided
     */
    record GiveUp(ResultCode code, String reason) implements Decision {}
  }
}
