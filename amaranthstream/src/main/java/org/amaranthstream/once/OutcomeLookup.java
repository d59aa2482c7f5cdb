package org.amaranthstream.once;

import java.util.function.Consumer;

/**
 * Asks the claimant that a claim names about its request.
 *
 * <p>Called on the decision thread, and the consumer is called there, exactly once. A claimant that
 * is another incarnation, or does not answer within two seconds, gives {@link
 * PreviousAttempt.Unknown}.
 */
public interface OutcomeLookup {

  /** Asks about a claim by {@link ClaimService#previousAttempt} at {@code claimant}. */
  void lookUp(Claimant claimant, ClaimPageId page, Claim claim, Consumer<PreviousAttempt> consumer);

  /**
   * Asks about a key that {@code issuer} issued by {@link
   * ClaimService#previousAttemptWithIssuedKey} there.
   */
  void lookUpIssued(
      Claimant issuer, KeyDigest digest, IdempotencyKey key, Consumer<PreviousAttempt> consumer);

  /** Returns a lookup of an entry VM without peers. */
  static OutcomeLookup none() {
    return NoOutcomeLookup.INSTANCE;
  }
}
