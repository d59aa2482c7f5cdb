package org.amaranthstream.once;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The keys that this incarnation knows, oldest first out.
 *
 * <p>A request that runs or is being claimed is never forgotten, so the bound on requests in flight
 * bounds these. To forget another entry is safe: its claim then counts as run. Used on the decision
 * thread only.
 */
final class LocalClaims {
  private final int maxEntries;
  private final long maxAnswerBytes;
  private final Map<KeyDigest, LocalClaim> claims = new LinkedHashMap<>();
  private long answerBytes;

  LocalClaims(int maxEntries, long maxAnswerBytes) {
    this.maxEntries = maxEntries;
    this.maxAnswerBytes = maxAnswerBytes;
  }

  Optional<LocalClaim> find(KeyDigest key) {
    return Optional.ofNullable(claims.get(key));
  }

  void put(KeyDigest key, LocalClaim claim) {
    answerBytes -= sizeBytes(claims.remove(key));
    claims.put(key, claim);
    answerBytes += sizeBytes(claim);
    if (claims.size() > maxEntries || answerBytes > maxAnswerBytes) {
      forgetOldest();
    }
  }

  int size() {
    return claims.size();
  }

  long answerBytes() {
    return answerBytes;
  }

  private void forgetOldest() {
    Iterator<LocalClaim> oldest = claims.values().iterator();
    while (oldest.hasNext() && (claims.size() > maxEntries || answerBytes > maxAnswerBytes)) {
      LocalClaim claim = oldest.next();
      if (claim.isInUse()) {
        continue;
      }
      answerBytes -= sizeBytes(claim);
      oldest.remove();
    }
  }

  private static long sizeBytes(@Nullable LocalClaim claim) {
    return claim == null ? 0 : claim.sizeBytes();
  }
}
