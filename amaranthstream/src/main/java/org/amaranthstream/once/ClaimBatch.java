package org.amaranthstream.once;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Collection;

/**
 * Orders of a page that one write settles.
 *
 * @param page the page after them
 * @param verdicts their verdicts once the page is written, in their order
 * @param isChanged true if the page has to be written
 * @param oldestDeadlineNanos when the first of them expires
 */
record ClaimBatch(
    ClaimPage page,
    ImmutableList<OrderVerdict> verdicts,
    boolean isChanged,
    long oldestDeadlineNanos) {
  /** Bytes by which a claim lengthens a page, at the most. */
  static final int MAX_CLAIM_BYTES = 40;

  private static final int MAX_ORDERS = 256;
  private static final Duration FULL_RETRY_AFTER = Duration.ofSeconds(10);

  static ClaimBatch of(ClaimPage page, Collection<PendingOrder> orders, int maxPageBytes) {
    ImmutableList.Builder<OrderVerdict> verdicts = ImmutableList.builder();
    long oldestDeadlineNanos = orders.iterator().next().deadlineNanos();
    int maxClaims = maxPageBytes / MAX_CLAIM_BYTES;
    ClaimPage changed = page;
    int count = 0;
    for (PendingOrder order : orders) {
      if (count++ == MAX_ORDERS) {
        break;
      }
      PageChange change = PageChange.apply(changed, order.order());
      if (change.page().size() > maxClaims) {
        verdicts.add(new OrderVerdict.Unavailable("the claim page is full", FULL_RETRY_AFTER));
        continue;
      }
      changed = change.page();
      verdicts.add(change.verdict());
    }
    return new ClaimBatch(changed, verdicts.build(), !changed.equals(page), oldestDeadlineNanos);
  }

  /** Returns true if a claim was found to be held, as it may not be any more. */
  boolean hasRefusal() {
    return verdicts.stream().anyMatch(OrderVerdict.HeldBy.class::isInstance);
  }
}
