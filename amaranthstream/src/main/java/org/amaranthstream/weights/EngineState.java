package org.amaranthstream.weights;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.WeightVersion;

/** What a controller knows about the orders of one model engine. Not thread safe. */
final class EngineState {
  private static final Duration MIN_BACKOFF = Duration.ofSeconds(1);
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(40);
  private static final int MAX_DOUBLINGS = 5;

  private Optional<Incarnation> incarnation = Optional.empty();
  private boolean ordered;
  private long notBeforeNanos;
  private long orderedNanos;
  private int failures;

  /** Forgets failures of an earlier incarnation. */
  void onReport(Incarnation reported, long nowNanos) {
    if (!incarnation.equals(Optional.of(reported))) {
      incarnation = Optional.of(reported);
      failures = 0;
      notBeforeNanos = nowNanos;
    }
  }

  /** Gives an order up whose answer did not come. */
  void dropLost(long nowNanos) {
    if (ordered && nowNanos - orderedNanos > ANSWER_TIMEOUT.toNanos()) {
      onFailed(nowNanos);
    }
  }

  boolean isOrdered() {
    return ordered;
  }

  boolean mayOrder(long nowNanos) {
    return !ordered && notBeforeNanos - nowNanos <= 0;
  }

  void onOrder(long nowNanos) {
    ordered = true;
    orderedNanos = nowNanos;
  }

  /** Notes that a swap ended well; returns how long it took. */
  Duration onLoaded(long nowNanos) {
    ordered = false;
    failures = 0;
    return Duration.ofNanos(nowNanos - orderedNanos);
  }

  void onWithheld() {
    ordered = false;
  }

  void onFailed(long nowNanos) {
    ordered = false;
    notBeforeNanos = nowNanos + MIN_BACKOFF.toNanos() * (1L << failures);
    failures = Math.min(failures + 1, MAX_DOUBLINGS);
  }

  static boolean isBehind(Optional<WeightVersion> reported, WeightVersion target) {
    return reported.isEmpty() || target.isAfter(reported.get());
  }
}
