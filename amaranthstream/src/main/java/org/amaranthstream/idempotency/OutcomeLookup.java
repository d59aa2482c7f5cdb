package org.amaranthstream.idempotency;

import java.util.function.Consumer;

/**
 * A lookup that queries the claimant of a key for the state of its request.
 *
 * <p>The methods are called on the decision thread. The consumer must be called exactly once, on
 * the decision thread. The result is {@link PreviousAttempt.Unknown} if the entry VM now runs
 * another incarnation or does not respond within two seconds.
 */
public interface OutcomeLookup {

  /** Queries {@code claimant}, which responds with {@link ClaimService#previousAttempt}. */
  void lookUp(Claimant claimant, ClaimPageId page, Claim claim, Consumer<PreviousAttempt> consumer);

  /**
   * Queries {@code issuer}, which issued the key and responds with {@link
   * ClaimService#previousAttemptWithIssuedKey}.
   */
  void lookUpIssued(
      Claimant issuer, KeyDigest digest, IdempotencyKey key, Consumer<PreviousAttempt> consumer);

  /** Returns a lookup without peers. */
  static OutcomeLookup none() {
    return NoOutcomeLookup.INSTANCE;
  }
}
