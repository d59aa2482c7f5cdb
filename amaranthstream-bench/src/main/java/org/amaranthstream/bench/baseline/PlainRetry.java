package org.amaranthstream.bench.baseline;

import org.amaranthstream.dispatch.RetryPolicy;

/**
 * Retry policy for comparison that has no retry budget. It retries a request that has not run, or
 * that is idempotent and resumable, up to the maximum number of attempts and until the deadline.
 */
public final class PlainRetry implements RetryPolicy {

  @Override
  public Decision decide(Input input) {
    boolean retryable = !input.mayHaveRun() || (input.idempotent() && input.resumable());
    if (retryable && input.attempts() < input.maxAttempts() && input.slackNanos() > 0) {
      return new Decision.Retry(false, "attempt " + input.attempts());
    }
    return new Decision.GiveUp(input.failure(), "not retryable, or no attempts or time left");
  }
}
