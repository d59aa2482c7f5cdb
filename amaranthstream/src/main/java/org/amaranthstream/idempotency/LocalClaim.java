package org.amaranthstream.idempotency;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * The in-memory state of a key that this incarnation has claimed or tried to claim.
 *
 * @param state the state
 * @param nonce the nonce of the latest attempt to claim the key
 * @param abandonedNonces nonces of abandoned attempts, oldest first; no request ran or will run
 *     under them
 * @param response the response of a request that ended
 */
record LocalClaim(
    LocalState state,
    ClaimNonce nonce,
    ImmutableList<ClaimNonce> abandonedNonces,
    Optional<CachedResponse> response) {
  private static final int MAX_ABANDONED_NONCES = 8;

  /** Returns the state of a key whose claim is being written. */
  static LocalClaim claiming(ClaimNonce nonce, ImmutableList<ClaimNonce> abandonedNonces) {
    return new LocalClaim(LocalState.CLAIMING, nonce, abandonedNonces, Optional.empty());
  }

  /** Returns the state after the request was started. */
  LocalClaim run() {
    return new LocalClaim(LocalState.RUNNING, nonce, abandonedNonces, Optional.empty());
  }

  /** Returns the state after the request ended. */
  LocalClaim end(CachedResponse cached) {
    return new LocalClaim(LocalState.ENDED, nonce, abandonedNonces, Optional.of(cached));
  }

  /** Returns the state after the attempt was abandoned without running the request. */
  LocalClaim abandon() {
    ImmutableList<ClaimNonce> all =
        ImmutableList.<ClaimNonce>builder().addAll(abandonedNonces).add(nonce).build();
    int from = Math.max(0, all.size() - MAX_ABANDONED_NONCES);
    return new LocalClaim(
        LocalState.GIVEN_UP, nonce, all.subList(from, all.size()), Optional.empty());
  }

  /** Returns true if the claim is being written or the request is running. */
  boolean isInUse() {
    return state == LocalState.CLAIMING || state == LocalState.RUNNING;
  }

  /** Returns the estimated size of the cached response in bytes. */
  long sizeBytes() {
    return response.map(CachedResponse::sizeBytes).orElse(0L);
  }
}
