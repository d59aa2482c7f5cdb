package org.amaranthstream.dispatch;

import org.amaranthstream.placement.ConcurrencyLimit;

/** Concurrency limit that stays at its initial value. */
record FixedConcurrencyLimit(int limit) implements ConcurrencyLimit {

  @Override
  public void onResponse(long latencyNanos, int inFlight) {}

  @Override
  public void onOverload() {}
}
