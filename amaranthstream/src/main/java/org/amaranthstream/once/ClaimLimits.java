package org.amaranthstream.once;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Bounds of claims. All entry VMs of a fleet must have the same window, page interval and shards.
 *
 * @param window age beyond which a key is refused
 * @param clockSkew how far in the future a key may be made
 * @param pageInterval length of the interval of time that a page covers
 * @param shards number of pages of an interval
 * @param minWriteInterval shortest time between two writes of one page by one entry VM
 * @param maxPageBytes size beyond which a page takes no claim
 * @param maxQueuedUpdates orders that may wait for one page
 * @param updateTimeout time after which an order that was not settled is given up
 * @param replyTimeout time after which a reply of the key-value service counts as lost
 * @param maxLocalClaims keys whose local state is kept
 * @param maxResponseBytes bytes of the answers that are kept to be given again
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
  /** Greatest size of a value of the key-value service. */
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

  /** Creates limits. */
  public ClaimLimits {
    checkArgument(!window.isNegative() && !window.isZero(), "window: %s", window);
    checkArgument(clockSkew.compareTo(window) < 0, "clockSkew %s, window %s", clockSkew, window);
    checkArgument(pageInterval.toMillis() > 0, "pageInterval: %s", pageInterval);
    checkArgument(shards > 0, "shards is not positive: %s", shards);
    checkArgument(maxPageBytes < MAX_VALUE_BYTES, "maxPageBytes: %s", maxPageBytes);
    checkArgument(maxQueuedUpdates > 0, "maxQueuedUpdates: %s", maxQueuedUpdates);
    checkArgument(maxLocalClaims > 0, "maxLocalClaims: %s", maxLocalClaims);
  }

  /** Returns the limits of an entry VM whose settings name none. */
  public static ClaimLimits defaults() {
    return DEFAULTS;
  }

  /** Returns the age at which a page may be deleted; clocks may differ by a window until then. */
  Duration pageRetention() {
    return window.multipliedBy(2).plus(pageInterval);
  }
}
