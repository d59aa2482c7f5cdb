package org.amaranthstream.platform;

import java.time.Duration;

/**
 * The delays of a {@link PrefixMirror}.
 *
 * @param watchWait the longest time that the store keeps a watch open
 * @param debounce the delay between a response with changes and the next watch
 * @param minBackoff the delay after the first failure
 * @param maxBackoff the longest delay after repeated failures
 */
public record MirrorTiming(
    Duration watchWait, Duration debounce, Duration minBackoff, Duration maxBackoff) {
  private static final Duration MIN_BACKOFF = Duration.ofMillis(150);
  private static final Duration MAX_BACKOFF = Duration.ofMillis(800);

  /** Returns timing with the default backoff. */
  public static MirrorTiming of(Duration watchWait, Duration debounce) {
    return new MirrorTiming(watchWait, debounce, MIN_BACKOFF, MAX_BACKOFF);
  }
}
