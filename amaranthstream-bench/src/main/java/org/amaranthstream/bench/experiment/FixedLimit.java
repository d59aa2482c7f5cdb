package org.amaranthstream.bench.experiment;

import org.amaranthstream.placement.ConcurrencyLimit;

/** A limit that stays at the slots that the server reports. */
final class FixedLimit implements ConcurrencyLimit {
  private static final int UNKNOWN_SLOTS_LIMIT = 4;

  private final int limit;

  FixedLimit(int slots) {
    this.limit = slots == 0 ? UNKNOWN_SLOTS_LIMIT : slots;
  }

  @Override
  public int limit() {
    return limit;
  }

  @Override
  public void onAnswer(long latencyNanos, int inFlight) {}

  @Override
  public void onOverload() {}
}
