package org.amaranthstream.idempotency;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The entry of a claim page that assigns an idempotency key to the claimant that may run it.
 *
 * @param key the digest of the key
 * @param nonce the nonce that identifies the attempt to claim the key
 * @param claimant the incarnation that claimed the key
 * @param released true once the claimant has released the claim without running the request
 */
public record Claim(KeyDigest key, ClaimNonce nonce, Claimant claimant, boolean released) {

  /** Creates a claim. */
  public Claim {
    checkNotNull(key, "key");
    checkNotNull(nonce, "nonce");
    checkNotNull(claimant, "claimant");
  }

  /** Returns a claim that has not been released. */
  public static Claim held(KeyDigest key, ClaimNonce nonce, Claimant claimant) {
    return new Claim(key, nonce, claimant, false);
  }

  /** Returns a copy of this claim that is marked as released. */
  Claim release() {
    return new Claim(key, nonce, claimant, true);
  }
}
