package org.amaranthstream.jobs;

import java.time.Duration;

/** Outcome of one reward call. */
public sealed interface RewardOutcome {

  /**
   * The service responded with success.
   *
   * @param score the score that the response carries
   */
  record Scored(Score score) implements RewardOutcome {}

  /**
   * The service reported that it failed to run the call.
   *
   * @param status the HTTP status of the response
   */
  record Failed(int status) implements RewardOutcome {}

  /**
   * No server ran the call.
   *
   * @param reason the reason, for the log
   * @param retryAfter the delay after which a retry is expected to run
   */
  record NotRun(String reason, Duration retryAfter) implements RewardOutcome {}

  /**
   * There is no valid response; the call may have run.
   *
   * @param reason the observed failure, for the log
   */
  record Broken(String reason) implements RewardOutcome {}
}
