package org.amaranthstream.idempotency;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Collection;

/**
 * A batch of updates of one claim page that a single write applies.
 *
 * @param page the page with the updates applied
 * @param results the results of the updates once the page is written, in the order of the updates
 * @param isChanged true if the updates change the page, so that it must be written
 * @param oldestDeadlineNanos the deadline of the first update, on the clock of the timers
 */
record ClaimBatch(
    ClaimPage page,
    ImmutableList<PageUpdateResult> results,
    boolean isChanged,
    long oldestDeadlineNanos) {
  /** Upper bound of the serialized size of one claim. */
  static final int MAX_CLAIM_SIZE_BYTES = 40;

  private static final int MAX_UPDATES = 256;
  private static final Duration FULL_RETRY_AFTER = Duration.ofSeconds(10);

  /**
   * Applies the first updates of {@code updates} to {@code page}. An update that would exceed
   * {@code maxPageBytes} leaves the page unchanged and results in {@link
   * PageUpdateResult.Unavailable}.
   */
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
      PageChange change = PageChange.apply(changed, update.update());
      if (change.page().size() > maxClaims) {
        results.add(new PageUpdateResult.Unavailable("the claim page is full", FULL_RETRY_AFTER));
        continue;
      }
      changed = change.page();
      results.add(change.result());
    }
    return new ClaimBatch(changed, results.build(), !changed.equals(page), oldestDeadlineNanos);
  }

  /**
   * Returns true if an update failed because another claim holds its key. If the page came from the
   * cache, that claim may have been released since.
   */
  boolean hasHeldKey() {
    return results.stream().anyMatch(PageUpdateResult.HeldBy.class::isInstance);
  }
}
