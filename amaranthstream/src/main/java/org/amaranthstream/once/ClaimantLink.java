package org.amaranthstream.once;

import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthstream.ids.EntryVmId;

/**
 * Orders at the preferred claimant of a page, so that one entry VM writes it and many orders share
 * a write. Any entry VM may write any page; the preference only saves writes.
 *
 * <p>Called on the decision thread, and consumers are called there, each exactly once.
 */
public interface ClaimantLink {

  /**
   * Returns the reachable entry VM that should write {@code page}; the own one or empty for here.
   */
  Optional<EntryVmId> preferred(ClaimPageId page);

  /**
   * Sends an order to {@code vm}, by {@link ClaimService#applyForwarded} there. A peer that does
   * not answer within two seconds gives {@link PageUpdateResult.Unavailable}.
   */
  void forward(
      EntryVmId vm, ClaimPageId page, PageUpdate update, Consumer<PageUpdateResult> consumer);

  /** Returns a link of an entry VM without peers. */
  static ClaimantLink none() {
    return NoClaimantLink.INSTANCE;
  }
}
