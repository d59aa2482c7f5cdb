package org.amaranthstream.rollout;

import java.time.Duration;
import java.util.Arrays;
import java.util.BitSet;

/**
 * The retry schedule of the slots of a step: exponential backoff for each slot, and a pause of the
 * whole step.
 *
 * <p>A rejection that affects all slots alike pauses the whole step, so that an overloaded service
 * receives one retry instead of one for each slot. Not thread safe.
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

  /** Resets the backoff of {@code slot}. */
  void onSampleComplete(int slot) {
    failures[slot] = 0;
  }

  /** Counts a failure of {@code slot} and returns its backoff, which doubles with each failure. */
  Duration backoff(int slot) {
    failures[slot] = (byte) Math.min(failures[slot] + 1, MAX_DOUBLINGS);
    return MIN_DELAY.multipliedBy(1L << failures[slot]);
  }

  /** Delays the next start of {@code slot} by {@code delay}, clamped to the delay limits. */
  void delaySlot(int slot, Duration delay, long nowNanos) {
    notBeforeNanos[slot] = nowNanos + bounded(delay).toNanos();
  }

  /** Delays the start of all slots by {@code delay}, clamped to the delay limits. */
  void pauseStep(Duration delay, long nowNanos) {
    pausedUntilNanos = nowNanos + bounded(delay).toNanos();
  }

  /** Returns the first slot of {@code waiting} that may start now, or -1. */
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

  /** Returns the time until a slot of {@code waiting}, which must not be empty, may start. */
  Duration timeUntilNextStart(BitSet waiting, long nowNanos) {
    long first = waiting.stream().mapToLong(s -> notBeforeNanos[s] - nowNanos).min().orElseThrow();
    return Duration.ofNanos(Math.max(1, Math.max(first, pausedUntilNanos - nowNanos)));
  }

  private static Duration bounded(Duration delay) {
    Duration atLeastMin = delay.compareTo(MIN_DELAY) < 0 ? MIN_DELAY : delay;
    return atLeastMin.compareTo(MAX_DELAY) > 0 ? MAX_DELAY : atLeastMin;
  }
}
