package org.amaranthstream.idempotency;

import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthstream.ids.EntryVmId;

/**
 * A link that forwards page updates to the preferred claimant of a page, so that one entry VM
 * writes the page and many updates share a write. Any entry VM may write any page; the preference
 * only reduces the number of writes.
 *
 * <p>The methods are called on the decision thread. Each consumer must be called exactly once, on
 * the decision thread.
 */
public interface ClaimantLink {

  /**
   * Returns the reachable entry VM that should write {@code page}. If it is empty or the local
   * entry VM, the local daemon writes the page.
   */
  Optional<EntryVmId> preferred(ClaimPageId page);

  /**
   * Forwards an update to {@code vm}, which applies it with {@link ClaimService#applyForwarded}.
   * Passes {@link PageUpdateResult.Unavailable} to the consumer if the peer does not respond within
   * two seconds.
   */
  void forward(
      EntryVmId vm, ClaimPageId page, PageUpdate update, Consumer<PageUpdateResult> consumer);

  /** Returns a link without peers. */
  static ClaimantLink none() {
    return NoClaimantLink.INSTANCE;
  }
}
