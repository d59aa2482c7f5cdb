package org.amaranthstream.weights;

import java.time.Duration;

/**
 * Pacing that swaps as few servers at once as are needed to update all of them within a target
 * time. It swaps all at once when a server is further behind than the staleness bound allows.
 *
 * @param target time from the announcement of a version until all servers have loaded it
 */
public record FreshnessSwapPacing(Duration target) implements SwapPacing {

  /** Returns a pacing with the given {@code target}. */
  public static FreshnessSwapPacing within(Duration target) {
    return new FreshnessSwapPacing(target);
  }

  @Override
  public int concurrentSwaps(SwapPacingInput input) {
    if (input.versionsBehind() > input.stalenessBound()) {
      return Math.max(1, input.servers());
    }
    double targetSeconds = target.toMillis() / 1e3;
    int rounds = Math.max(1, (int) Math.floor(targetSeconds / Math.max(input.swapSeconds(), 1e-3)));
    int needed = (input.servers() + rounds - 1) / rounds;
    return Math.max(1, needed);
  }
}
