package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import java.util.List;
import org.amaranthstream.platform.KvEntry;

/**
 * What the owners of a job have saved of its open items.
 *
 * @param texts the texts; of several of an item, the last one counts
 * @param nextPage the number of the page that is saved next
 */
record SavedProgress(ImmutableList<ItemPartial> texts, int nextPage) {
  private static final SavedProgress NONE = new SavedProgress(ImmutableList.of(), 0);

  /** Returns what a job begins with. */
  static SavedProgress none() {
    return NONE;
  }

  /** Returns this with {@code newer} texts, which replace those of the same items. */
  SavedProgress plus(List<ItemPartial> newer) {
    ImmutableList<ItemPartial> all =
        ImmutableList.<ItemPartial>builder().addAll(texts).addAll(newer).build();
    return new SavedProgress(all, nextPage);
  }

  /** Returns what pages hold that are in the order of their numbers. */
  static SavedProgress of(ImmutableList<KvEntry> pages, List<TextPart> parts) {
    if (pages.isEmpty()) {
      return NONE;
    }
    int last = JobKeys.numberOfPage(Iterables.getLast(pages).key());
    return new SavedProgress(SavedTexts.join(parts), last + 1);
  }
}
