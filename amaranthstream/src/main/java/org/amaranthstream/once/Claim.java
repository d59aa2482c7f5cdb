package org.amaranthstream.once;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Record that a key is taken.
 *
 * @param key the key
 * @param nonce the try that took it
 * @param claimant who took it
 * @param released true once the claimant has given it back without having run the request
 */
public record Claim(KeyDigest key, ClaimNonce nonce, Claimant claimant, boolean released) {

  /** Creates a claim. */
  public Claim {
    checkNotNull(key, "key");
    checkNotNull(nonce, "nonce");
    checkNotNull(claimant, "claimant");
  }

  /** Returns a claim that is held. */
  public static Claim held(KeyDigest key, ClaimNonce nonce, Claimant claimant) {
    return new Claim(key, nonce, claimant, false);
  }

  Claim release() {
    return new Claim(key, nonce, claimant, true);
  }
}
