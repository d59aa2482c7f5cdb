package org.amaranthstream.placement;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Raises the limit by one each window of answers without queueing in the server, and cuts it by a
 * factor when the latency shows queueing or the server refuses.
 *
 * <p>Queueing is a latency above {@code TOLERANCE} times the lowest of the last windows. Not thread
 * safe.
 */
public final class AimdLimit implements ConcurrencyLimit {
  private static final double TOLERANCE = 2.0;
  private static final double DECREASE = 0.9;
  private static final double BASELINE_DRIFT = 1.02;
  private static final int MAX_LIMIT = 1024;
  private static final int UNKNOWN_SLOTS_LIMIT = 4;

  private double limit;
  private double baselineNanos;
  private int answersInWindow;
  private boolean cutInWindow;
  private boolean fullInWindow;

  private AimdLimit(int initial) {
    this.limit = initial;
  }

  /** Returns a limit that starts at the slots that the server reports. */
  public static AimdLimit startingAt(int slots) {
    checkArgument(slots >= 0, "slots is negative: %s", slots);
    return new AimdLimit(slots == 0 ? UNKNOWN_SLOTS_LIMIT : slots);
  }

  @Override
  public int limit() {
    return (int) limit;
  }

  @Override
  public void onAnswer(long latencyNanos, int inFlight) {
    updateBaseline(latencyNanos);
    fullInWindow |= inFlight >= limit();
    if (latencyNanos > TOLERANCE * baselineNanos) {
      cut();
    }
    answersInWindow++;
    if (answersInWindow >= limit()) {
      closeWindow();
    }
  }

  @Override
  public void onOverload() {
    cut();
  }

  private void updateBaseline(long latencyNanos) {
    if (baselineNanos == 0 || latencyNanos < baselineNanos) {
      baselineNanos = Math.max(1, latencyNanos);
    }
  }

  private void cut() {
    if (!cutInWindow) {
      limit = Math.max(1, limit * DECREASE);
      cutInWindow = true;
    }
  }

  private void closeWindow() {
    if (!cutInWindow && fullInWindow) {
      limit = Math.min(MAX_LIMIT, limit + 1);
    }
    baselineNanos *= BASELINE_DRIFT;
    answersInWindow = 0;
    cutInWindow = false;
    fullInWindow = false;
  }
}
