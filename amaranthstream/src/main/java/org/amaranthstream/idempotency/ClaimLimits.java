package org.amaranthstream.idempotency;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Limits of claims. All entry VMs of a fleet must have the same window, page interval and shards:
 * they determine the page of a key and when the page may be deleted.
 *
 * @param window maximum age of a key
 * @param clockSkew maximum time by which the creation time of a key may be in the future
 * @param pageInterval length of the interval of creation times that a page covers
 * @param shards number of pages for each interval
 * @param minWriteInterval minimum time between two writes of one page by one entry VM
 * @param maxPageBytes maximum size of a page; a full page accepts no more claims
 * @param maxQueuedUpdates maximum number of updates that are queued for one page
 * @param updateTimeout time after which a queued update fails
 * @param replyTimeout time after which a reply of the key-value service counts as lost
 * @param maxLocalClaims maximum number of keys whose state is in memory
 * @param maxResponseBytes maximum total size of the cached responses in memory
 */
public record ClaimLimits(
    Duration window,
    Duration clockSkew,
    Duration pageInterval,
    int shards,
    Duration minWriteInterval,
    int maxPageBytes,
    int maxQueuedUpdates,
    Duration updateTimeout,
    Duration replyTimeout,
    int maxLocalClaims,
    long maxResponseBytes) {
  /** Maximum size of a value in the key-value service. */
  public static final int MAX_VALUE_BYTES = 1_000_000;

  private static final ClaimLimits DEFAULTS =
      new ClaimLimits(
          Duration.ofHours(1),
          Duration.ofMinutes(1),
          Duration.ofSeconds(10),
          8,
          Duration.ofMillis(100),
          256 * 1024,
          1_024,
          Duration.ofSeconds(2),
          Duration.ofSeconds(1),
          16_384,
          4L << 20);

  /** Creates limits and checks that they are consistent. */
  public ClaimLimits {
    checkArgument(!window.isNegative() && !window.isZero(), "window: %s", window);
    checkArgument(clockSkew.compareTo(window) < 0, "clockSkew %s, window %s", clockSkew, window);
    checkArgument(pageInterval.toMillis() > 0, "pageInterval: %s", pageInterval);
    checkArgument(shards > 0, "shards is not positive: %s", shards);
    checkArgument(maxPageBytes < MAX_VALUE_BYTES, "maxPageBytes: %s", maxPageBytes);
    checkArgument(maxQueuedUpdates > 0, "maxQueuedUpdates: %s", maxQueuedUpdates);
    checkArgument(maxLocalClaims > 0, "maxLocalClaims: %s", maxLocalClaims);
  }

  /** Returns the default limits. */
  public static ClaimLimits defaults() {
    return DEFAULTS;
  }

  /**
   * Returns the age at which a page may be deleted. It includes a second window, so that the clocks
   * of two entry VMs may differ by up to one window.
   */
  Duration pageRetention() {
    return window.multipliedBy(2).plus(pageInterval);
  }
}
