package org.amaranthstream.dispatch;

/**
 * A detector of attempts that have made no progress for too long.
 *
 * <p>Measures the time since the last progress and not the length of the attempt, so that long
 * responses are not taken for stalled ones. Used on the decision thread only.
 */
final class StalledAttemptDetector {
  /** An attempt may wait for its first chunk for this multiple of the mean time until then. */
  private static final int FIRST_CHUNK_FACTOR = 4;

  private final DispatchSettings settings;
  private final ServiceEstimates estimates;

  StalledAttemptDetector(DispatchSettings settings, ServiceEstimates estimates) {
    this.settings = settings;
    this.estimates = estimates;
  }

  /** Returns true if {@code attempt} has made no progress within its timeout. */
  boolean isStalled(ServerAttempt attempt, long nowNanos) {
    return nowNanos - attempt.progressNanos() >= timeoutNanos(attempt);
  }

  private long timeoutNanos(ServerAttempt attempt) {
    if (attempt.isResponding()) {
      return settings.nextChunkTimeout().toNanos();
    }
    long meanNanos = estimates.firstChunkNanos(attempt.request.work.workClass());
    return Math.max(settings.firstChunkTimeout().toNanos(), FIRST_CHUNK_FACTOR * meanNanos);
  }
}
