package org.amaranthstream.config;

import java.time.Duration;

/**
 * Intervals and timeouts of the configuration manager.
 *
 * @param watchWait the longest time that one watch waits at the key-value service
 * @param pollInterval the interval between reads without a watch, which detect that the service was
 *     restored to an older state
 * @param callTimeout the timeout of a call to the service
 * @param firstPeerTimeout the time after the start during which changes are rejected until a peer
 *     has reported its generation
 */
public record ConfigTiming(
    Duration watchWait, Duration pollInterval, Duration callTimeout, Duration firstPeerTimeout) {

  /** Delay between a successful watch cycle and the next one. */
  static final Duration CYCLE_DELAY = Duration.ofMillis(100);

  /** Delay before the first retry of a failed call; it doubles up to {@link #MAX_RETRY_DELAY}. */
  static final Duration MIN_RETRY_DELAY = Duration.ofMillis(500);

  /** Longest delay between two retries of a failed call. */
  static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(4);

  /** Delay before each read that checks the outcome of a write whose response was lost. */
  static final Duration OUTCOME_CHECK_INTERVAL = Duration.ofMillis(300);

  /** Greatest number of reads that check the outcome of a write whose response was lost. */
  static final int MAX_OUTCOME_CHECKS = 10;
}
