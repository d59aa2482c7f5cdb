package org.amaranthstream.bench.baseline;

import org.amaranthstream.placement.ConcurrencyLimit;

/**
 * Concurrency limit for comparison that never changes.
 *
 * @param limit the maximum number of requests in flight
 */
public record FixedLimit(int limit) implements ConcurrencyLimit {

  @Override
  public void onResponse(long latencyNanos, int inFlight) {}

  @Override
  public void onOverload() {}
}
