package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import java.util.List;
import org.amaranthstream.platform.KvEntry;

/**
 * Partial output that the owners of a job have saved for its open items.
 *
 * @param texts the partial outputs; if an item has several, the last one counts
 * @param nextPage the number of the next page to write
 */
record JobCheckpoint(ImmutableList<PartialOutput> texts, int nextPage) {
  private static final JobCheckpoint NONE = new JobCheckpoint(ImmutableList.of(), 0);

  /** Returns the empty checkpoint of a new job. */
  static JobCheckpoint none() {
    return NONE;
  }

  /** Returns a checkpoint in which {@code newer} texts replace those of the same items. */
  JobCheckpoint plus(List<PartialOutput> newer) {
    ImmutableList<PartialOutput> all =
        ImmutableList.<PartialOutput>builder().addAll(texts).addAll(newer).build();
    return new JobCheckpoint(all, nextPage);
  }

  /**
   * Returns the checkpoint that stored pages contain.
   *
   * @param pages the entries of the store, in the order of their page numbers
   * @param parts the decoded parts of all pages, in the same order
   */
  static JobCheckpoint of(ImmutableList<KvEntry> pages, List<CheckpointPart> parts) {
    if (pages.isEmpty()) {
      return NONE;
    }
    int last = JobKeys.numberOfPage(Iterables.getLast(pages).key());
    return new JobCheckpoint(CheckpointAssembler.assemble(parts), last + 1);
  }
}
