package org.amaranthstream.daemon;

import java.time.Duration;
import org.amaranthstream.dispatch.Dispatcher;
import org.amaranthstream.time.TimerService;

/** Numbers of requests of the dispatcher, copied on the decision thread for other threads. */
final class DispatcherGauges {
  private static final Duration PERIOD = Duration.ofMillis(250);

  private volatile int active;
  private volatile int queued;

  /** Starts to copy; the timers run on the decision thread. */
  void start(Dispatcher dispatcher, TimerService timers) {
    timers.every(PERIOD, () -> copy(dispatcher));
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
