package org.amaranthstream.jobs;

import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses which item of a job starts next: the one expected to be the longest.
 *
 * <p>Pure. Answers the load pattern of a step with a few very long items: a group is complete only
 * when its longest item is, so long items that start last decide when the step ends.
 */
final class ItemOrder {
  private static final Comparator<ItemProgress> LONGEST_FIRST =
      Comparator.comparingLong(ItemProgress::expectedTokens);

  private ItemOrder() {}

  /** Returns the item to start next, empty if none is ready. */
  static Optional<ItemProgress> next(Iterable<ItemProgress> items, long nowNanos) {
    ItemProgress best = null;
    for (ItemProgress item : items) {
      boolean isBetter = best == null || LONGEST_FIRST.compare(item, best) > 0;
      if (item.isReady(nowNanos) && isBetter) {
        best = item;
      }
    }
    return Optional.ofNullable(best);
  }
}
