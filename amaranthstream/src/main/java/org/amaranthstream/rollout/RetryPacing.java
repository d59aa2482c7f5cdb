package org.amaranthstream.rollout;

import java.time.Duration;
import java.util.Arrays;
import java.util.BitSet;

/**
 * Times before which slots of a step are not tried again.
 *
 * <p>A refusal that concerns all slots alike pauses the whole step, so that a service without room
 * gets one try and not one for each slot. Not thread safe.
 */
final class RetryPacing {
  private static final Duration MIN_DELAY = Duration.ofMillis(50);
  private static final Duration MAX_DELAY = Duration.ofSeconds(5);
  private static final int MAX_DOUBLINGS = 6;

  private final long[] notBeforeNanos;
  private final byte[] failures;
  private long pausedUntilNanos;

  RetryPacing(int slots, long nowNanos) {
    this.notBeforeNanos = new long[slots];
    this.failures = new byte[slots];
    this.pausedUntilNanos = nowNanos;
    Arrays.fill(notBeforeNanos, nowNanos);
  }

  void onSampleComplete(int slot) {
    failures[slot] = 0;
  }

  /** Returns the delay before the next try of {@code slot}, which doubles with each failure. */
  Duration backoff(int slot) {
    failures[slot] = (byte) Math.min(failures[slot] + 1, MAX_DOUBLINGS);
    return MIN_DELAY.multipliedBy(1L << failures[slot]);
  }

  void delaySlot(int slot, Duration delay, long nowNanos) {
    notBeforeNanos[slot] = nowNanos + bounded(delay).toNanos();
  }

  void pauseStep(Duration delay, long nowNanos) {
    pausedUntilNanos = nowNanos + bounded(delay).toNanos();
  }

  /** Returns the first slot of {@code waiting} that may be tried now, or -1. */
  int nextStartable(BitSet waiting, long nowNanos) {
    if (pausedUntilNanos - nowNanos > 0) {
      return -1;
    }
    int slot = waiting.nextSetBit(0);
    while (slot >= 0 && notBeforeNanos[slot] - nowNanos > 0) {
      slot = waiting.nextSetBit(slot + 1);
    }
    return slot;
  }

  /** Returns the time until a slot of {@code waiting}, which is not empty, may be tried. */
  Duration untilNext(BitSet waiting, long nowNanos) {
    long first = waiting.stream().mapToLong(s -> notBeforeNanos[s] - nowNanos).min().orElseThrow();
    return Duration.ofNanos(Math.max(1, Math.max(first, pausedUntilNanos - nowNanos)));
  }

  private static Duration bounded(Duration delay) {
    Duration atLeastMin = delay.compareTo(MIN_DELAY) < 0 ? MIN_DELAY : delay;
    return atLeastMin.compareTo(MAX_DELAY) > 0 ? MAX_DELAY : atLeastMin;
  }
}
