package org.amaranthstream.weights;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.WeightVersion;

/** What a controller knows about the orders of one model engine. Not thread safe. */
final class EngineOrderState {
  private static final Duration MIN_BACKOFF = Duration.ofSeconds(1);
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(40);
  private static final int MAX_BACKOFF_DOUBLINGS = 5;

  private Optional<Incarnation> incarnation = Optional.empty();
  private boolean isOrderInFlight;
  private long nextOrderNanos;
  private long orderedNanos;
  private int failures;

  /** Forgets failures of an earlier incarnation. */
  void onReport(Incarnation reported, long nowNanos) {
    if (!incarnation.equals(Optional.of(reported))) {
      incarnation = Optional.of(reported);
      failures = 0;
      nextOrderNanos = nowNanos;
    }
  }

  /** Gives an order up whose answer did not come. */
  void expireUnanswered(long nowNanos) {
    if (isOrderInFlight && nowNanos - orderedNanos > ANSWER_TIMEOUT.toNanos()) {
      onFailed(nowNanos);
    }
  }

  boolean isOrderInFlight() {
    return isOrderInFlight;
  }

  boolean canOrder(long nowNanos) {
    return !isOrderInFlight && nextOrderNanos - nowNanos <= 0;
  }

  void onOrder(long nowNanos) {
    isOrderInFlight = true;
    orderedNanos = nowNanos;
  }

  /** Notes that a swap ended well; returns how long it took. */
  Duration onLoaded(long nowNanos) {
    isOrderInFlight = false;
    failures = 0;
    return Duration.ofNanos(nowNanos - orderedNanos);
  }

  void onWithheld() {
    isOrderInFlight = false;
  }

  void onFailed(long nowNanos) {
    isOrderInFlight = false;
    nextOrderNanos = nowNanos + MIN_BACKOFF.toNanos() * (1L << failures);
    failures = Math.min(failures + 1, MAX_BACKOFF_DOUBLINGS);
  }

  static boolean isBehind(Optional<WeightVersion> reported, WeightVersion target) {
    return reported.isEmpty() || target.isAfter(reported.get());
  }
}
