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
