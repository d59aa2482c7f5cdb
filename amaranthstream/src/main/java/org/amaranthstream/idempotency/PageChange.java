package org.amaranthstream.idempotency;

import java.util.Optional;
import org.amaranthstream.idempotency.PageUpdate.Acquire;
import org.amaranthstream.idempotency.PageUpdate.Release;

/**
 * The effect of one update on a claim page. Pages are immutable; this computes a new one.
 *
 * @param page the page with the update applied
 * @param result the result of the update once the page is written
 */
record PageChange(ClaimPage page, PageUpdateResult result) {
  private static final PageUpdateResult APPLIED = new PageUpdateResult.Applied();

  /** Applies {@code update} to {@code page}. */
  static PageChange apply(ClaimPage page, PageUpdate update) {
    if (update instanceof Acquire acquire) {
      return acquire(page, acquire);
    }
    return release(page, (Release) update);
  }

  private static PageChange acquire(ClaimPage page, Acquire acquire) {
    Optional<Claim> existing = page.find(acquire.key());
    if (existing.isEmpty() || mayReplace(existing.get(), acquire)) {
      return new PageChange(page.with(acquire.claim()), APPLIED);
    }
    if (existing.get().equals(acquire.claim())) {
      return new PageChange(page, APPLIED);
    }
    return new PageChange(page, new PageUpdateResult.HeldBy(existing.get()));
  }

  private static boolean mayReplace(Claim existing, Acquire acquire) {
    boolean abandoned =
        existing.claimant().equals(acquire.claim().claimant())
            && acquire.replaceableNonces().contains(existing.nonce());
    return existing.released() || abandoned;
  }

  private static PageChange release(ClaimPage page, Release release) {
    Optional<Claim> existing = page.find(release.key());
    if (existing.isEmpty() || !existing.get().nonce().equals(release.nonce())) {
      return new PageChange(page, APPLIED);
    }
    return new PageChange(page.with(existing.get().release()), APPLIED);
  }
}
