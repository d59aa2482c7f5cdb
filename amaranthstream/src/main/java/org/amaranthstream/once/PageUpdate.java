package org.amaranthstream.once;

import com.google.common.collect.ImmutableList;

/** A change of a claim page. Applying one twice does what applying it once does. */
public sealed interface PageUpdate {

  /** Returns the key that it is about. */
  KeyDigest key();

  /**
   * Acquire a key.
   *
   * @param claim the claim to record
   * @param replaces nonces of own claims that were given up, which may be replaced
   */
  record Acquire(Claim claim, ImmutableList<ClaimNonce> replaceableNonces) implements PageUpdate {
    @Override
    public KeyDigest key() {
      return claim.key();
    }
  }

  /**
   * Give a key back, whose request was not run.
   *
   * @param key the key
   * @param nonce the nonce of the claim
   */
  record Release(KeyDigest key, ClaimNonce nonce) implements PageUpdate {}
}
