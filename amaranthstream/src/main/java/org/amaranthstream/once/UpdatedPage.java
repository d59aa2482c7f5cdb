package org.amaranthstream.once;

import java.util.Optional;
import org.amaranthstream.once.PageUpdate.Acquire;
import org.amaranthstream.once.PageUpdate.Release;

/**
 * A page after an order, and the order's result if the page is written.
 *
 * @param page the page
 * @param result the result
 */
record UpdatedPage(ClaimPage page, PageUpdateResult result) {
  private static final PageUpdateResult DONE = new PageUpdateResult.Applied();

  static UpdatedPage apply(ClaimPage page, PageUpdate update) {
    if (update instanceof Acquire acquire) {
      return acquire(page, acquire);
    }
    return release(page, (Release) update);
  }

  private static UpdatedPage acquire(ClaimPage page, Acquire acquire) {
    Optional<Claim> existing = page.find(acquire.key());
    if (existing.isEmpty() || mayReplace(existing.get(), acquire)) {
      return new UpdatedPage(page.with(acquire.claim()), DONE);
    }
    if (existing.get().equals(acquire.claim())) {
      return new UpdatedPage(page, DONE);
    }
    return new UpdatedPage(page, new PageUpdateResult.HeldBy(existing.get()));
  }

  private static boolean mayReplace(Claim existing, Acquire acquire) {
    boolean abandoned =
        existing.claimant().equals(acquire.claim().claimant())
            && acquire.replaceableNonces().contains(existing.nonce());
    return existing.released() || abandoned;
  }

  private static UpdatedPage release(ClaimPage page, Release release) {
    Optional<Claim> existing = page.find(release.key());
    if (existing.isEmpty() || !existing.get().nonce().equals(release.nonce())) {
      return new UpdatedPage(page, DONE);
    }
    return new UpdatedPage(page.with(existing.get().release()), DONE);
  }
}
