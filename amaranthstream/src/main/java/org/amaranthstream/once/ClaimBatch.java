package org.amaranthstream.once;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Collection;

/**
 * Orders of a page that one write settles.
 *
 * @param page the page after them
 * @param results their results once the page is written, in their order
 * @param isChanged true if the page has to be written
 * @param oldestDeadlineNanos when the first of them expires
 */
record ClaimBatch(
    ClaimPage page,
    ImmutableList<PageUpdateResult> results,
    boolean isChanged,
    long oldestDeadlineNanos) {
  /** Bytes by which a claim lengthens a page, at the most. */
  static final int MAX_CLAIM_SIZE_BYTES = 40;

  private static final int MAX_UPDATES = 256;
  private static final Duration FULL_RETRY_AFTER = Duration.ofSeconds(10);

  static ClaimBatch of(ClaimPage page, Collection<PendingUpdate> updates, int maxPageBytes) {
    ImmutableList.Builder<PageUpdateResult> results = ImmutableList.builder();
    long oldestDeadlineNanos = updates.iterator().next().deadlineNanos();
    int maxClaims = maxPageBytes / MAX_CLAIM_SIZE_BYTES;
    ClaimPage changed = page;
    int count = 0;
    for (PendingUpdate update : updates) {
      if (count++ == MAX_UPDATES) {
        break;
      }
      UpdatedPage change = UpdatedPage.apply(changed, update.update());
      if (change.page().size() > maxClaims) {
        results.add(new PageUpdateResult.Unavailable("the claim page is full", FULL_RETRY_AFTER));
        continue;
      }
      changed = change.page();
      results.add(change.result());
    }
    return new ClaimBatch(changed, results.build(), !changed.equals(page), oldestDeadlineNanos);
  }

  /** Returns true if a claim was found to be held, as it may not be any more. */
  boolean hasHeldKey() {
    return results.stream().anyMatch(PageUpdateResult.HeldBy.class::isInstance);
  }
}
