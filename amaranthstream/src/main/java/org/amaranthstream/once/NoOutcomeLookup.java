package org.amaranthstream.once;

import java.util.function.Consumer;

/** Lookup of an entry VM without peers. */
final class NoOutcomeLookup implements OutcomeLookup {
  static final NoOutcomeLookup INSTANCE = new NoOutcomeLookup();

  private NoOutcomeLookup() {}

  @Override
  public void lookUp(
      Claimant claimant, ClaimPageId page, Claim claim, Consumer<PriorRun> consumer) {
    consumer.accept(new PriorRun.Unknown());
  }

  @Override
  public void lookUpIssued(
      Claimant issuer, KeyDigest digest, IdempotencyKey key, Consumer<PriorRun> consumer) {
    consumer.accept(new PriorRun.Unknown());
  }
}
