package org.amaranthstream.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.quarantine.Crash;
import org.amaranthstream.quarantine.PoisonRegistry;

/**
 * The quarantine as it applies to requests. The samples of training steps are exempt: a trainer is
 * owed each of them, and a burst of crashes must not leave one behind. Used on the decision thread
 * only.
 */
final class RequestQuarantine {
  private final PoisonRegistry registry;

  RequestQuarantine(PoisonRegistry registry) {
    this.registry = registry;
  }

  PoisonRegistry registry() {
    return registry;
  }

  private static boolean isExempt(ActiveRequest request) {
    return request.work.isOwed();
  }

  /** Returns true if the content of {@code request} was in flight at a recent crash. */
  boolean isSuspect(ActiveRequest request, long nowNanos) {
    return !isExempt(request) && registry.isSuspect(request.fingerprint, nowNanos);
  }

  /** Returns how long {@code request} must not run, empty if it may run. */
  Optional<Duration> remaining(ActiveRequest request, long nowNanos) {
    return isExempt(request)
        ? Optional.empty()
        : registry.remainingQuarantine(request.fingerprint, nowNanos);
  }

  /** Records that {@code request} was in flight at {@code crash}. */
  void onCrash(ActiveRequest request, Crash crash, long nowNanos) {
    if (!isExempt(request)) {
      registry.onCrash(request.fingerprint, crash, nowNanos);
    }
  }

  /** Clears the crashes of the content of a request that completed. */
  void onCompleted(ActiveRequest request) {
    registry.onCompleted(request.fingerprint);
  }
}
