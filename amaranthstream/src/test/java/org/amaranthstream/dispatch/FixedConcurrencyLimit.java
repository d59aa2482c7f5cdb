package org.amaranthstream.dispatch;

import org.amaranthstream.placement.ConcurrencyLimit;

/** A limit that stays at the reported slots. */
record FixedConcurrencyLimit(int limit) implements ConcurrencyLimit {

  @Override
  public void onAnswer(long latencyNanos, int inFlight) {}

  @Override
  public void onOverload() {}
}
