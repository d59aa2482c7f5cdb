package org.amaranthstream.idempotency;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.result.ErrorDetail;

/** The decision whether a request may run under its idempotency key. */
public sealed interface ClaimDecision {

  /**
   * The key is claimed. The receiver must run the request now, and no other entry VM runs it.
   *
   * @param handle the claim, to be passed to {@link ClaimService#finish} or {@link
   *     ClaimService#release} when the request ends
   */
  record Run(ClaimHandle handle) implements ClaimDecision {}

  /** A request with the same key is running. */
  record DuplicateRunning() implements ClaimDecision {}

  /**
   * A request with the same key ran or may have run.
   *
   * @param response the response of that request, empty if it is not available
   */
  record AlreadyRan(Optional<CachedResponse> response) implements ClaimDecision {}

  /**
   * The key could not be claimed, so the request must not run.
   *
   * @param error a code of the 2xx or 4xx group, and the reason
   * @param retryAfter time after which a retry with the same key may succeed, empty if a retry does
   *     not help
   */
  record Refused(ErrorDetail error, Optional<Duration> retryAfter) implements ClaimDecision {}
}
