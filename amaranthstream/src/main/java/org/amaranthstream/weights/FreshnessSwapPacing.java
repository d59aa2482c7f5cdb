package org.amaranthstream.weights;

import java.time.Duration;

/**
 * As few servers at once as bring all of them to the new version within a target, and all at once
 * when one is as far behind as the staleness bound allows.
 *
 * @param target time from an announcement until all servers have the version
 */
public record FreshnessSwapPacing(Duration target) implements SwapPacing {

  /** Returns the policy with {@code target}. */
  public static FreshnessSwapPacing within(Duration target) {
    return new FreshnessSwapPacing(target);
  }

  @Override
  public int concurrentSwaps(SwapPacingInput input) {
    if (input.versionsBehind() > input.stalenessBound()) {
      return Math.max(1, input.servers());
    }
    double targetSeconds = target.toMillis() / 1e3;
    int waves = Math.max(1, (int) Math.floor(targetSeconds / Math.max(input.swapSeconds(), 1e-3)));
    int needed = (input.servers() + waves - 1) / waves;
    return Math.max(1, needed);
  }
}
