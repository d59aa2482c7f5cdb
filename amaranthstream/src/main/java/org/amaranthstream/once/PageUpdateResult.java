package org.amaranthstream.once;

import java.time.Duration;

/** Answer to a {@link PageUpdate}. */
public sealed interface PageUpdateResult {

  /** The order's effect is recorded. */
  record Applied() implements PageUpdateResult {}

  /**
   * Another claim holds the key.
   *
   * @param claim the claim
   */
  record HeldBy(Claim claim) implements PageUpdateResult {}

  /**
   * It is not known that the order's effect is recorded.
   *
   * @param reason what was seen
   * @param retryAfter when to come back
   */
  record Unavailable(String reason, Duration retryAfter) implements PageUpdateResult {}
}
