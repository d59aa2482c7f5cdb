package org.amaranthstream.jobs;

import java.util.Comparator;
import java.util.Optional;

/**
 * Selection of the item of a job that starts next: the one with the greatest expected length at a
 * fast server, the one with the smallest at a slow server.
 *
 * <p>The methods are pure functions. The order is made for steps with a few very long items. A
 * group is complete only when its longest item is, so a long item that starts last, or at a slow
 * server, delays the end of the whole step.
 */
final class ItemSelector {
  private static final Comparator<ItemProgress> BY_EXPECTED_TOKENS =
      Comparator.comparingLong(ItemProgress::expectedTokens);

  private ItemSelector() {}

  /** Returns the longest item that is ready, for a fast server; empty if none is ready. */
  static Optional<ItemProgress> longestReady(Iterable<ItemProgress> items, long nowNanos) {
    return firstReady(items, BY_EXPECTED_TOKENS, nowNanos);
  }

  /** Returns the shortest item that is ready, for a slow server; empty if none is ready. */
  static Optional<ItemProgress> shortestReady(Iterable<ItemProgress> items, long nowNanos) {
    return firstReady(items, BY_EXPECTED_TOKENS.reversed(), nowNanos);
  }

  private static Optional<ItemProgress> firstReady(
      Iterable<ItemProgress> items, Comparator<ItemProgress> order, long nowNanos) {
    ItemProgress best = null;
    for (ItemProgress item : items) {
      boolean isBetter = best == null || order.compare(item, best) > 0;
      if (item.isReady(ItemStage.GENERATE, nowNanos) && isBetter) {
        best = item;
      }
    }
    return Optional.ofNullable(best);
  }
}
