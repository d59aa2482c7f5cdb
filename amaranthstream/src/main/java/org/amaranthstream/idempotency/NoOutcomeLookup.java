package org.amaranthstream.idempotency;

import java.util.function.Consumer;

/** A lookup without peers, which finds no previous attempt. */
final class NoOutcomeLookup implements OutcomeLookup {
  static final NoOutcomeLookup INSTANCE = new NoOutcomeLookup();

  private NoOutcomeLookup() {}

  @Override
  public void lookUp(
      Claimant claimant, ClaimPageId page, Claim claim, Consumer<PreviousAttempt> consumer) {
    consumer.accept(new PreviousAttempt.Unknown());
  }

  @Override
  public void lookUpIssued(
      Claimant issuer, KeyDigest digest, IdempotencyKey key, Consumer<PreviousAttempt> consumer) {
    consumer.accept(new PreviousAttempt.Unknown());
  }
}
