package org.amaranthstream.time;

/** A subscription to a timer. Cancelling is idempotent and safe from any thread. */
@FunctionalInterface
public interface Subscription {

  /** Stops the timer. A task that is already running completes. */
  void cancel();
}
