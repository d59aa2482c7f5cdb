package org.amaranthstream.idempotency;

import java.time.Duration;

/** The result of a {@link PageUpdate}. */
public sealed interface PageUpdateResult {

  /** The page is stored with the update applied. */
  record Applied() implements PageUpdateResult {}

  /**
   * The update is rejected because another claim holds the key.
   *
   * @param claim the other claim
   */
  record HeldBy(Claim claim) implements PageUpdateResult {}

  /**
   * The update failed or its outcome is unknown; it may have been applied.
   *
   * @param reason the cause
   * @param retryAfter time after which a retry may succeed
   */
  record Unavailable(String reason, Duration retryAfter) implements PageUpdateResult {}
}
