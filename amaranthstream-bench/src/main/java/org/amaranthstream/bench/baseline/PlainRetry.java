package org.amaranthstream.bench.baseline;

import org.amaranthstream.dispatch.RetryPolicy;

/** Retries idempotent work until the attempts are used up, without a budget. */
public final class PlainRetry implements RetryPolicy {

  @Override
  public Decision decide(Input input) {
    boolean allowed = !input.mayHaveRun() || (input.idempotent() && input.resumable());
    if (allowed && input.attempts() < input.maxAttempts() && input.slackNanos() > 0) {
      return new Decision.Retry(false, "attempt " + input.attempts());
    }
    return new Decision.GiveUp(input.failure(), "attempts used up");
  }
}
