package org.amaranthstream.idempotency;

/** Maps claim decisions to the events that are counted and the reasons that are recorded. */
final class ClaimDecisions {
  private ClaimDecisions() {}

  /** Returns the event that is counted for {@code decision}. */
  static ClaimEvent eventOf(ClaimDecision decision) {
    if (decision instanceof ClaimDecision.Run) {
      return ClaimEvent.RUN;
    }
    if (decision instanceof ClaimDecision.DuplicateRunning) {
      return ClaimEvent.DUPLICATE_RUNNING;
    }
    if (decision instanceof ClaimDecision.AlreadyRan ran) {
      return ran.response().isPresent() ? ClaimEvent.ANSWER_REPEATED : ClaimEvent.PRIOR_RUN_UNKNOWN;
    }
    return ClaimEvent.REFUSED;
  }

  /** Returns the reason of {@code decision} for its decision record. */
  static String reasonOf(ClaimDecision decision) {
    if (decision instanceof ClaimDecision.Refused refused) {
      return refused.error().toString();
    }
    return switch (eventOf(decision)) {
      case RUN -> "the key was not claimed before";
      case DUPLICATE_RUNNING -> "a request with the same key runs";
      case ANSWER_REPEATED -> "a request with the same key ran, its response is returned again";
      default -> "a request with the same key may have run, its response is not known";
    };
  }
}
