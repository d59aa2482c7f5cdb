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
    ImmutableList<ClaimNonce> givenUp,
    Optional<StoredAnswer> answer) {
  private static final int MAX_GIVEN_UP = 8;

  static LocalClaim claiming(ClaimNonce nonce, ImmutableList<ClaimNonce> givenUp) {
    return new LocalClaim(LocalState.CLAIMING, nonce, givenUp, Optional.empty());
  }

  LocalClaim run() {
    return new LocalClaim(LocalState.RUNNING, nonce, givenUp, Optional.empty());
  }

  LocalClaim end(StoredAnswer end) {
    return new LocalClaim(LocalState.ENDED, nonce, givenUp, Optional.of(end));
  }

  LocalClaim giveUp() {
    ImmutableList<ClaimNonce> all =
        ImmutableList.<ClaimNonce>builder().addAll(givenUp).add(nonce).build();
    int from = Math.max(0, all.size() - MAX_GIVEN_UP);
    return new LocalClaim(
        LocalState.GIVEN_UP, nonce, all.subList(from, all.size()), Optional.empty());
  }

  boolean isInUse() {
    return state == LocalState.CLAIMING || state == LocalState.RUNNING;
  }

  long sizeBytes() {
    return answer.map(StoredAnswer::sizeBytes).orElse(0L);
  }
}
