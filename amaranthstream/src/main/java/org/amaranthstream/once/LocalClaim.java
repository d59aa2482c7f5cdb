package org.amaranthstream.once;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * What this incarnation knows about a key.
 *
 * @param state the state
 * @param nonce the newest nonce of this incarnation
 * @param givenUp nonces under which the request was not run and never will be, oldest first
 * @param answer the answer of a request that ended
 */
record LocalClaim(
    LocalState state,
    ClaimNonce nonce,
    ImmutableList<ClaimNonce> abandonedNonces,
    Optional<CachedResponse> response) {
  private static final int MAX_ABANDONED_NONCES = 8;

  static LocalClaim claiming(ClaimNonce nonce, ImmutableList<ClaimNonce> abandonedNonces) {
    return new LocalClaim(LocalState.CLAIMING, nonce, abandonedNonces, Optional.empty());
  }

  LocalClaim run() {
    return new LocalClaim(LocalState.RUNNING, nonce, abandonedNonces, Optional.empty());
  }

  LocalClaim end(CachedResponse end) {
    return new LocalClaim(LocalState.ENDED, nonce, abandonedNonces, Optional.of(end));
  }

  LocalClaim abandon() {
    ImmutableList<ClaimNonce> all =
        ImmutableList.<ClaimNonce>builder().addAll(abandonedNonces).add(nonce).build();
    int from = Math.max(0, all.size() - MAX_ABANDONED_NONCES);
    return new LocalClaim(
        LocalState.GIVEN_UP, nonce, all.subList(from, all.size()), Optional.empty());
  }

  boolean isInUse() {
    return state == LocalState.CLAIMING || state == LocalState.RUNNING;
  }

  long sizeBytes() {
    return response.map(CachedResponse::sizeBytes).orElse(0L);
  }
}
