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
record JobCheckpoint(ImmutableList<PartialOutput> texts, int nextPage) {
  private static final JobCheckpoint NONE = new JobCheckpoint(ImmutableList.of(), 0);

  /** Returns what a job begins with. */
  static JobCheckpoint none() {
    return NONE;
  }

  /** Returns this with {@code newer} texts, which replace those of the same items. */
  JobCheckpoint plus(List<PartialOutput> newer) {
    ImmutableList<PartialOutput> all =
        ImmutableList.<PartialOutput>builder().addAll(texts).addAll(newer).build();
    return new JobCheckpoint(all, nextPage);
  }

  /** Returns what pages hold that are in the order of their numbers. */
  static JobCheckpoint of(ImmutableList<KvEntry> pages, List<CheckpointPart> parts) {
    if (pages.isEmpty()) {
      return NONE;
    }
    int last = JobKeys.numberOfPage(Iterables.getLast(pages).key());
    return new JobCheckpoint(CheckpointAssembler.assemble(parts), last + 1);
  }
}
