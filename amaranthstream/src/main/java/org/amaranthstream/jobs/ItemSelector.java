package org.amaranthstream.jobs;

import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses which item of a job starts next: the one expected to be the longest, or at a slow server
 * the shortest.
 *
 * <p>Pure. Answers the load pattern of a step with a few very long items: a group is complete only
 * when its longest item is, so long items that start last, or at a slow server, decide when the
 * step ends.
 */
final class ItemSelector {
  private static final Comparator<ItemProgress> LONGEST_FIRST =
      Comparator.comparingLong(ItemProgress::expectedTokens);

  private ItemSelector() {}

  /** Returns the item to start next at a fast server, empty if none is ready. */
  static Optional<ItemProgress> longestReady(Iterable<ItemProgress> items, long nowNanos) {
    return firstReady(items, LONGEST_FIRST, nowNanos);
  }

  /** Returns the item to start next at a slow server, empty if none is ready. */
  static Optional<ItemProgress> shortestReady(Iterable<ItemProgress> items, long nowNanos) {
    return firstReady(items, LONGEST_FIRST.reversed(), nowNanos);
  }

  private static Optional<ItemProgress> firstReady(
      Iterable<ItemProgress> items, Comparator<ItemProgress> order, long nowNanos) {
    ItemProgress best = null;
    for (ItemProgress item : items) {
      boolean isBetter = best == null || order.compare(item, best) > 0;
      if (item.isReady(nowNanos) && isBetter) {
        best = item;
      }
    }
    return Optional.ofNullable(best);
  }
}
