package org.amaranthstream.jobs;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.amaranthstream.ids.GroupId;

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

  /**
   * Returns the best of the ready items that satisfy {@code isAllowed}, empty if none does.
   *
   * @param isSlow true if the item is to start at a slow server
   * @param needed the groups whose items go first, whatever their length
   */
  static Optional<ItemProgress> select(
      Iterable<ItemProgress> items,
      boolean isSlow,
      Set<GroupId> needed,
      Predicate<ItemProgress> isAllowed,
      long nowNanos) {
    Comparator<ItemProgress> order =
        Comparator.comparing((ItemProgress item) -> needed.contains(item.spec().group()))
            .thenComparing(isSlow ? BY_EXPECTED_TOKENS.reversed() : BY_EXPECTED_TOKENS);
    ItemProgress best = null;
    for (ItemProgress item : items) {
      boolean isBetter = best == null || order.compare(item, best) > 0;
      if (isBetter && item.isReady(ItemStage.GENERATE, nowNanos) && isAllowed.test(item)) {
        best = item;
      }
    }
    return Optional.ofNullable(best);
  }
}
