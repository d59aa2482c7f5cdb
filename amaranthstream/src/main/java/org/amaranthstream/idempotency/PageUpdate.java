package org.amaranthstream.idempotency;

import com.google.common.collect.ImmutableList;

/** An idempotent update of a claim page: applying it twice has the effect of applying it once. */
public sealed interface PageUpdate {

  /** Returns the digest of the key whose claim changes. */
  KeyDigest key();

  /**
   * Adds a claim unless another claim holds its key.
   *
   * @param claim the claim to add
   * @param replaceableNonces nonces of abandoned claims of the same claimant, which the claim may
   *     replace
   */
  record Acquire(Claim claim, ImmutableList<ClaimNonce> replaceableNonces) implements PageUpdate {
    @Override
    public KeyDigest key() {
      return claim.key();
    }
  }

  /**
   * Releases the claim of a key whose request was not run.
   *
   * @param key the digest of the key
   * @param nonce the nonce of the claim
   */
  record Release(KeyDigest key, ClaimNonce nonce) implements PageUpdate {}
}
