package org.amaranthstream.daemon;

import java.time.Duration;
import org.amaranthstream.dispatch.Dispatcher;
import org.amaranthstream.time.TimerService;

/**
 * Gauges of the dispatcher's requests. They are copied periodically on the decision thread, so that
 * other threads can read them. Thread safe.
 */
final class DispatcherGauges {
  private static final Duration COPY_INTERVAL = Duration.ofMillis(250);

  private volatile int active;
  private volatile int queued;

  /** Starts to copy with {@code timers}, whose tasks run on the decision thread. */
  void start(Dispatcher dispatcher, TimerService timers) {
    timers.every(COPY_INTERVAL, () -> copy(dispatcher));
  }

  private void copy(Dispatcher dispatcher) {
    active = dispatcher.active();
    queued = dispatcher.queued();
  }

  /** Returns the number of requests without an outcome. */
  int active() {
    return active;
  }

  /** Returns the number of requests that wait for a backend server. */
  int queued() {
    return queued;
  }
}
