package org.amaranthstream.once;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.time.Instant;

/**
 * Names the page that holds the claims of one shard for keys made in one interval of time.
 *
 * @param interval the number of the interval since the epoch
 * @param shard the shard
 */
public record ClaimPageId(long interval, int shard) {
  /** Prefix of the keys of all claim pages. */
  public static final String KEY_PREFIX = "claims/";

  /** Creates a page id. */
  public ClaimPageId {
    checkArgument(interval >= 0, "interval is negative: %s", interval);
    checkArgument(shard >= 0, "shard is negative: %s", shard);
  }

  /** Returns the page of a key. */
  static ClaimPageId of(KeyDigest digest, Instant created, ClaimLimits limits) {
    return new ClaimPageId(
        intervalOf(created, limits.pageInterval()), digest.shard(limits.shards()));
  }

  static long intervalOf(Instant time, Duration length) {
    return Math.floorDiv(time.toEpochMilli(), length.toMillis());
  }

  /** Returns the page's key in the key-value service. */
  public String key() {
    return KEY_PREFIX + interval + "/" + shard;
  }
}
