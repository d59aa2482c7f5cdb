package org.amaranthstream.idempotency;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthstream.ids.EntryVmId;

/** A link without peers. */
final class NoClaimantLink implements ClaimantLink {
  static final NoClaimantLink INSTANCE = new NoClaimantLink();

  private NoClaimantLink() {}

  @Override
  public Optional<EntryVmId> preferred(ClaimPageId page) {
    return Optional.empty();
  }

  @Override
  public void forward(
      EntryVmId vm, ClaimPageId page, PageUpdate update, Consumer<PageUpdateResult> consumer) {
    consumer.accept(new PageUpdateResult.Unavailable("no link to " + vm, Duration.ZERO));
  }
}
