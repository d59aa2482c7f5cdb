package org.amaranthstream.platform;

import java.time.Duration;

/**
 * Waiting times of a {@link PrefixMirror}.
 *
 * @param watchWait the longest time that the store holds a watch back
 * @param settle the pause after an answer with changes before the next watch
 * @param firstRetry the pause after a first failure
 * @param lastRetry the longest pause after failures
 */
public record MirrorTiming(
    Duration watchWait, Duration settle, Duration firstRetry, Duration lastRetry) {
  private static final Duration FIRST_RETRY = Duration.ofMillis(150);
  private static final Duration LAST_RETRY = Duration.ofMillis(800);

  /** Returns timing with the usual pauses between retries. */
  public static MirrorTiming of(Duration watchWait, Duration settle) {
    return new MirrorTiming(watchWait, settle, FIRST_RETRY, LAST_RETRY);
  }
}
