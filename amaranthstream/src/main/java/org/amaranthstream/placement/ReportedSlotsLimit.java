package org.amaranthstream.placement;

/**
 * Holds the slots that the server reports, and is cut only when the server refuses.
 *
 * <p>A queue in the server is made of the requests of all entry VMs of its zone. If each of them
 * cuts its own limit for it, slots stand free while requests wait in the entry VMs; the server's
 * queue keeps its slots busy and orders by priority. Without reported slots the limit is learned by
 * {@link AimdLimit}. Not thread safe.
 */
public final class ReportedSlotsLimit implements ConcurrencyLimit {
  /** The same latency for every answer, so that no window of answers shows queueing. */
  private static final long STEADY_LATENCY_NANOS = 1;

  private final AimdLimit refusals;

  private ReportedSlotsLimit(AimdLimit refusals) {
    this.refusals = refusals;
  }

  /**
   * Returns a limit for a server.
   *
   * @param slots requests that the server says it can run at once, 0 if not known
   */
  public static ConcurrencyLimit startingAt(int slots) {
    AimdLimit learned = AimdLimit.startingAt(slots);
    return slots == 0 ? learned : new ReportedSlotsLimit(learned);
  }

  @Override
  public int limit() {
    return refusals.limit();
  }

  @Override
  public void onAnswer(long latencyNanos, int inFlight) {
    refusals.onAnswer(STEADY_LATENCY_NANOS, inFlight);
  }

  @Override
  public void onReport(int running, int queued) {}

  @Override
  public void onOverload() {
    refusals.onOverload();
  }
}
