package org.amaranthstream.once;

import java.util.Optional;
import org.amaranthstream.once.PageOrder.Release;
import org.amaranthstream.once.PageOrder.Take;

/**
 * A page after an order, and the order's verdict if the page is written.
 *
 * @param page the page
 * @param verdict the verdict
 */
record PageChange(ClaimPage page, OrderVerdict verdict) {
  private static final OrderVerdict DONE = new OrderVerdict.Done();

  static PageChange apply(ClaimPage page, PageOrder order) {
    if (order instanceof Take take) {
      return take(page, take);
    }
    return release(page, (Release) order);
  }

  private static PageChange take(ClaimPage page, Take take) {
    Optional<Claim> existing = page.find(take.key());
    if (existing.isEmpty() || mayReplace(existing.get(), take)) {
      return new PageChange(page.with(take.claim()), DONE);
    }
    if (existing.get().equals(take.claim())) {
      return new PageChange(page, DONE);
    }
    return new PageChange(page, new OrderVerdict.HeldBy(existing.get()));
  }

  private static boolean mayReplace(Claim existing, Take take) {
    boolean givenUp =
        existing.claimant().equals(take.claim().claimant())
            && take.replaces().contains(existing.nonce());
    return existing.released() || givenUp;
  }

  private static PageChange release(ClaimPage page, Release release) {
    Optional<Claim> existing = page.find(release.key());
    if (existing.isEmpty() || !existing.get().nonce().equals(release.nonce())) {
      return new PageChange(page, DONE);
    }
    return new PageChange(page.with(existing.get().release()), DONE);
  }
}
