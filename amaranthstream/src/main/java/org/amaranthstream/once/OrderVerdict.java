package org.amaranthstream.once;

import java.time.Duration;

/** Answer to a {@link PageOrder}. */
public sealed interface OrderVerdict {

  /** The order's effect is recorded. */
  record Done() implements OrderVerdict {}

  /**
   * Another claim holds the key.
   *
   * @param claim the claim
   */
  record HeldBy(Claim claim) implements OrderVerdict {}

  /**
   * It is not known that the order's effect is recorded.
   *
   * @param reason what was seen
   * @param retryAfter when to come back
   */
  record Unavailable(String reason, Duration retryAfter) implements OrderVerdict {}
}
