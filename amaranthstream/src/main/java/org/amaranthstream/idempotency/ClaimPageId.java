package org.amaranthstream.idempotency;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.time.Instant;

/**
 * The id of a claim page: the interval in which its keys were created, and its shard.
 *
 * @param interval the number of the interval, counted from the epoch
 * @param shard the number of the shard, counted from 0
 */
public record ClaimPageId(long interval, int shard) {
  /** Prefix of the keys of claim pages in the key-value service. */
  public static final String KEY_PREFIX = "claims/";

  /** Creates a page id. */
  public ClaimPageId {
    checkArgument(interval >= 0, "interval is negative: %s", interval);
    checkArgument(shard >= 0, "shard is negative: %s", shard);
  }

  /** Returns the id of the page for a key that was created at {@code created}. */
  static ClaimPageId of(KeyDigest digest, Instant created, ClaimLimits limits) {
    return new ClaimPageId(
        intervalOf(created, limits.pageInterval()), digest.shard(limits.shards()));
  }

  /** Returns the number of the interval of {@code length} that contains {@code time}. */
  static long intervalOf(Instant time, Duration length) {
    return Math.floorDiv(time.toEpochMilli(), length.toMillis());
  }

  /** Returns the page's key in the key-value service. */
  public String key() {
    return KEY_PREFIX + interval + "/" + shard;
  }
}
