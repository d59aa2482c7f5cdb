package org.amaranthstream.idempotency;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The in-memory state of keys by digest, with a limit on the number of keys and on the size of the
 * cached responses. The oldest entries are evicted first.
 *
 * <p>An entry whose request is running or being claimed is never evicted; the number of these is
 * bounded by the limit on requests in flight. Evicting any other entry is safe, because a claim
 * without an entry counts as run. Must be used on the decision thread.
 */
final class LocalClaims {
  private final int maxEntries;
  private final long maxResponseBytes;
  private final Map<KeyDigest, LocalClaim> claims = new LinkedHashMap<>();
  private long responseBytes;

  LocalClaims(int maxEntries, long maxResponseBytes) {
    this.maxEntries = maxEntries;
    this.maxResponseBytes = maxResponseBytes;
  }

  Optional<LocalClaim> find(KeyDigest key) {
    return Optional.ofNullable(claims.get(key));
  }

  /** Sets the state of a key, makes it the newest entry and evicts entries beyond the limits. */
  void put(KeyDigest key, LocalClaim claim) {
    responseBytes -= sizeBytes(claims.remove(key));
    claims.put(key, claim);
    responseBytes += sizeBytes(claim);
    if (claims.size() > maxEntries || responseBytes > maxResponseBytes) {
      evictOldest();
    }
  }

  int size() {
    return claims.size();
  }

  long responseBytes() {
    return responseBytes;
  }

  private void evictOldest() {
    Iterator<LocalClaim> oldest = claims.values().iterator();
    while (oldest.hasNext() && (claims.size() > maxEntries || responseBytes > maxResponseBytes)) {
      LocalClaim claim = oldest.next();
      if (claim.isInUse()) {
        continue;
      }
      responseBytes -= sizeBytes(claim);
      oldest.remove();
    }
  }

  private static long sizeBytes(@Nullable LocalClaim claim) {
    return claim == null ? 0 : claim.sizeBytes();
  }
}
