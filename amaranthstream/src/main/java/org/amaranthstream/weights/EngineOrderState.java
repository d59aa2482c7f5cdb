package org.amaranthstream.weights;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.WeightVersion;

/**
 * State of the load orders to one model engine: an order in flight, and the backoff after failures.
 * Not thread safe.
 */
final class EngineOrderState {
  private static final Duration MIN_BACKOFF = Duration.ofSeconds(1);
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(40);
  private static final int MAX_BACKOFF_DOUBLINGS = 5;

  private Optional<Incarnation> incarnation = Optional.empty();
  private boolean isOrderInFlight;
  private long nextOrderNanos;
  private long orderedNanos;
  private int failures;

  /** Resets the failures and the backoff if the engine reports a new incarnation. */
  void onReport(Incarnation reported, long nowNanos) {
    if (!incarnation.equals(Optional.of(reported))) {
      incarnation = Optional.of(reported);
      failures = 0;
      nextOrderNanos = nowNanos;
    }
  }

  /** Treats an order without a response as failed once its timeout has expired. */
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

  /** Records that the engine loaded the version; returns the time since the order. */
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
