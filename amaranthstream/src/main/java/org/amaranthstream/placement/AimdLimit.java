package org.amaranthstream.placement;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Raises the limit by one after a window of answers without queueing, and cuts it by a factor when
 * the server reports a queue, when the mean latency of a window shows one, or when the server
 * refuses.
 *
 * <p>Queueing is a mean above {@code TOLERANCE} times the lowest of the earlier windows. Means of
 * windows are compared, not single answers: an answer from a cached prefix comes much sooner than
 * one that is not cached, without any queueing. The limit never exceeds the slots that the server
 * reports. Not thread safe.
 */
public final class AimdLimit implements ConcurrencyLimit {
  private static final int WINDOW_ANSWERS = 32;
  private static final double TOLERANCE = 3.0;

  /** Share of the running requests that may wait in the server without a cut. */
  private static final double QUEUED_SHARE = 0.25;

  private static final double DECREASE = 0.9;
  private static final double BASELINE_DRIFT = 1.05;
  private static final int MAX_LIMIT = 1024;
  private static final int UNKNOWN_SLOTS_LIMIT = 4;

  private final double ceiling;
  private double limit;
  private double baselineNanos;
  private double sumNanos;
  private int answers;
  private boolean full;
  private boolean cutInWindow;
  private boolean reportsQueue;

  private AimdLimit(double initial, double ceiling) {
    this.limit = initial;
    this.ceiling = ceiling;
  }

  /**
   * Returns a limit that starts at the slots that the server reports.
   *
   * @param slots requests that the server says it can run at once, 0 if not known
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
  public void onAnswer(long latencyNanos, int inFlight) {
    sumNanos += latencyNanos;
    answers++;
    full |= inFlight >= limit();
    if (answers == WINDOW_ANSWERS) {
      closeWindow(sumNanos / answers);
    }
  }

  @Override
  public void onReport(int running, int queued) {
    reportsQueue = queued > QUEUED_SHARE * running;
    if (reportsQueue) {
      cut();
    }
  }

  @Override
  public void onOverload() {
    if (!cutInWindow) {
      cut();
      cutInWindow = true;
    }
  }

  private void closeWindow(double meanNanos) {
    if (baselineNanos > 0 && meanNanos > TOLERANCE * baselineNanos) {
      cut();
    } else if (full && !cutInWindow && !reportsQueue) {
      limit = Math.min(ceiling, limit + 1);
    }
    updateBaseline(meanNanos);
    sumNanos = 0;
    answers = 0;
    full = false;
    cutInWindow = false;
  }

  private void updateBaseline(double meanNanos) {
    double drifted = baselineNanos * BASELINE_DRIFT;
    baselineNanos = baselineNanos == 0 ? meanNanos : Math.min(drifted, meanNanos);
  }

  private void cut() {
    limit = Math.max(1, limit * DECREASE);
  }
}
