package org.amaranthstream.placement;

/**
 * Concurrency limit that stays at the slots that the server reports and is decreased only when the
 * server rejects a request.
 *
 * <p>The queue in a server holds requests of all entry VMs of its zone. If each of them decreased
 * its own limit because of the queue, slots would be free while requests wait in the entry VMs. The
 * server's queue keeps its slots busy and orders requests by priority. If the server reports no
 * slots, {@link AimdLimit} determines the limit. Not thread safe.
 */
public final class ReportedSlotsLimit implements ConcurrencyLimit {
  /** Latency recorded for every response, so that no window indicates queueing. */
  private static final long CONSTANT_LATENCY_NANOS = 1;

  private final AimdLimit aimd;

  private ReportedSlotsLimit(AimdLimit aimd) {
    this.aimd = aimd;
  }

  /**
   * Returns a limit for a server.
   *
   * @param slots number of requests that the server can run at once, 0 if unknown
   */
  public static ConcurrencyLimit startingAt(int slots) {
    AimdLimit adaptive = AimdLimit.startingAt(slots);
    return slots == 0 ? adaptive : new ReportedSlotsLimit(adaptive);
  }

  @Override
  public int limit() {
    return aimd.limit();
  }

  @Override
  public void onResponse(long latencyNanos, int inFlight) {
    aimd.onResponse(CONSTANT_LATENCY_NANOS, inFlight);
  }

  @Override
  public void onReport(int running, int queued) {}

  @Override
  public void onOverload() {
    aimd.onOverload();
  }
}
