package org.amaranthstream.bench.baseline;

import org.amaranthstream.placement.ConcurrencyLimit;

/**
 * A limit that never changes.
 *
 * @param limit the greatest number of requests in flight
 */
public record FixedLimit(int limit) implements ConcurrencyLimit {

  @Override
  public void onResponse(long latencyNanos, int inFlight) {}

  @Override
  public void onOverload() {}
}
