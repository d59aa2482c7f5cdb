package org.amaranthstream.placement;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Concurrency limit with additive increase and multiplicative decrease (AIMD). It grows by one
 * after a window of responses without queueing. It shrinks by a factor when the server reports a
 * queue, when the mean latency of a window indicates one, or when the server rejects a request.
 *
 * <p>A window indicates queueing if its mean latency is above {@code QUEUEING_LATENCY_RATIO} times
 * the lowest mean of earlier windows. Means are compared rather than single responses, because a
 * response with a cached prefix arrives much earlier than one without, with no queueing involved.
 * The limit never exceeds the slots that the server reports. Not thread safe.
 */
public final class AimdLimit implements ConcurrencyLimit {
  private static final int WINDOW_RESPONSES = 32;
  private static final double QUEUEING_LATENCY_RATIO = 3.0;

  /** Queued requests as a share of the running ones, above which the limit is decreased. */
  private static final double MAX_QUEUED_SHARE = 0.25;

  private static final double DECREASE_FACTOR = 0.9;
  private static final double BASELINE_DRIFT_FACTOR = 1.05;
  private static final int MAX_LIMIT = 1024;
  private static final int UNKNOWN_SLOTS_LIMIT = 4;

  private final double ceiling;
  private double limit;
  private double baselineNanos;
  private double sumNanos;
  private int responses;
  private boolean limitReached;
  private boolean decreasedInWindow;
  private boolean reportsQueue;

  private AimdLimit(double initial, double ceiling) {
    this.limit = initial;
    this.ceiling = ceiling;
  }

  /**
   * Returns a limit that starts at the number of slots that the server reports.
   *
   * @param slots number of requests that the server can run at once, 0 if unknown
   */
  public static AimdLimit startingAt(int slots) {
    checkArgument(slots >= 0, "slots is negative: %s", slots);
    return slots == 0 ? new AimdLimit(UNKNOWN_SLOTS_LIMIT, MAX_LIMIT) : new AimdLimit(slots, slots);
  }

  @Override
  public int limit() {
    return (int) limit;
  }

  @Override
  public void onResponse(long latencyNanos, int inFlight) {
    sumNanos += latencyNanos;
    responses++;
    limitReached |= inFlight >= limit();
    if (responses == WINDOW_RESPONSES) {
      closeWindow(sumNanos / responses);
    }
  }

  @Override
  public void onReport(int running, int queued) {
    reportsQueue = queued > MAX_QUEUED_SHARE * running;
    if (reportsQueue) {
      decrease();
    }
  }

  @Override
  public void onOverload() {
    if (!decreasedInWindow) {
      decrease();
      decreasedInWindow = true;
    }
  }

  private void closeWindow(double meanNanos) {
    if (baselineNanos > 0 && meanNanos > QUEUEING_LATENCY_RATIO * baselineNanos) {
      decrease();
    } else if (limitReached && !decreasedInWindow && !reportsQueue) {
      limit = Math.min(ceiling, limit + 1);
    }
    updateBaseline(meanNanos);
    sumNanos = 0;
    responses = 0;
    limitReached = false;
    decreasedInWindow = false;
  }

  private void updateBaseline(double meanNanos) {
    double raisedBaseline = baselineNanos * BASELINE_DRIFT_FACTOR;
    baselineNanos = baselineNanos == 0 ? meanNanos : Math.min(raisedBaseline, meanNanos);
  }

  private void decrease() {
    limit = Math.max(1, limit * DECREASE_FACTOR);
  }
}
