package org.amaranthstream.time;

/** A handle to cancel a timer. Cancelling is idempotent and safe from any thread. */
@FunctionalInterface
public interface Subscription {

  /** Cancels the timer. A task that is already running completes. */
  void cancel();
}
