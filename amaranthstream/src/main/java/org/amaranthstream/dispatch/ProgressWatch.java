package org.amaranthstream.dispatch;

/**
 * Tells attempts without progress. Their length does not count.
 *
 * <p>Used on the decision thread only.
 */
final class ProgressWatch {
  /** How many times the usual wait for a first part is not silence. */
  private static final int FIRST_PART_FACTOR = 4;

  private final DispatchSettings settings;
  private final ServiceEstimates estimates;

  ProgressWatch(DispatchSettings settings, ServiceEstimates estimates) {
    this.settings = settings;
    this.estimates = estimates;
  }

  boolean isSilent(ServerAttempt attempt, long nowNanos) {
    return nowNanos - attempt.progressNanos() >= timeoutNanos(attempt);
  }

  private long timeoutNanos(ServerAttempt attempt) {
    if (attempt.isAnswering()) {
      return settings.nextChunkTimeout().toNanos();
    }
    long usual = estimates.firstPartNanos(attempt.request.work.workClass());
    return Math.max(settings.firstChunkTimeout().toNanos(), FIRST_PART_FACTOR * usual);
  }
}
