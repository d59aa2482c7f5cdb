package org.amaranthstream.platform;

import java.time.Duration;

/**
 * Waiting times of a {@link PrefixMirror}.
 *
 * @param watchWait the longest time that the store holds a watch back
 * @param debounce the pause after an answer with changes before the next watch
 * @param minBackoff the pause after a first failure
 * @param maxBackoff the longest pause after failures
 */
public record MirrorTiming(
    Duration watchWait, Duration debounce, Duration minBackoff, Duration maxBackoff) {
  private static final Duration MIN_BACKOFF = Duration.ofMillis(150);
  private static final Duration MAX_BACKOFF = Duration.ofMillis(800);

  /** Returns timing with the usual pauses between retries. */
  public static MirrorTiming of(Duration watchWait, Duration debounce) {
    return new MirrorTiming(watchWait, debounce, MIN_BACKOFF, MAX_BACKOFF);
  }
}
