package org.amaranthstream.config;

import java.time.Duration;

/**
 * Intervals of the keeper.
 *
 * @param watchWait time that one watch waits at the key-value service
 * @param pollInterval time between two plain reads, which find a service that was set back
 * @param callTimeout time after which a call to the service counts as lost
 * @param peerGrace time after the start within which a change waits for word of a peer
 */
public record ConfigTiming(
    Duration watchWait, Duration pollInterval, Duration callTimeout, Duration peerGrace) {

  /** Time between two cycles of the watch that were answered. */
  static final Duration CYCLE_SPACING = Duration.ofMillis(100);

  /** Time before the first retry of a failed call; it doubles up to {@link #MAX_RETRY_DELAY}. */
  static final Duration MIN_RETRY_DELAY = Duration.ofMillis(500);

  /** Greatest time between two retries of a failed call. */
  static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(4);

  /** Time between two reads that settle a change whose answer was lost. */
  static final Duration SETTLE_INTERVAL = Duration.ofMillis(300);

  /** Number of reads that settle a change whose answer was lost. */
  static final int SETTLE_READS = 10;
}
