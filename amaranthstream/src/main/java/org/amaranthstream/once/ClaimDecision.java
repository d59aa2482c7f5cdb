package org.amaranthstream.once;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.result.ErrorDetail;

/** Whether a request may run under its key. */
public sealed interface ClaimDecision {

  /**
   * It runs, now and here, and nowhere else.
   *
   * @param handle to be given back by {@link ClaimService#finish}
   */
  record Run(ClaimHandle handle) implements ClaimDecision {}

  /** A request with the same key runs. */
  record DuplicateRunning() implements ClaimDecision {}

  /**
   * A request with the same key ran or may have run.
   *
   * @param answer its answer, if it is known
   */
  record AlreadyRan(Optional<CachedResponse> response) implements ClaimDecision {}

  /**
   * It does not run.
   *
   * @param error a code of the 2xx or 4xx group, and the reason
   * @param retryAfter when to come back with the same key, empty if that does not help
   */
  record Refused(ErrorDetail error, Optional<Duration> retryAfter) implements ClaimDecision {}
}
