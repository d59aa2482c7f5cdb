package org.amaranthstream.platform;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.time.TimerService;

/** A token bucket of calls: a steady rate, and a burst of two seconds of it. Thread safe. */
final class CallBudget {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int BURST_SECONDS = 2;

  private final TimerService timers;
  private final double callsPerNano;
  private final double capacity;

  @GuardedBy("this")
  private double available;

  @GuardedBy("this")
  private long refilledNanos;

  CallBudget(TimerService timers, int callsPerSecond) {
    checkArgument(callsPerSecond > 0, "calls per second are not positive: %s", callsPerSecond);
    this.timers = timers;
    this.callsPerNano = callsPerSecond / NANOS_PER_SECOND;
    this.capacity = (double) callsPerSecond * BURST_SECONDS;
    this.available = capacity;
    this.refilledNanos = timers.nowNanos();
  }

  /** Takes a call from the budget; if it is spent, returns when the next call is free. */
  synchronized Optional<Duration> tryAcquire() {
    long now = timers.nowNanos();
    available = Math.min(capacity, available + (now - refilledNanos) * callsPerNano);
    refilledNanos = now;
    if (available >= 1) {
      available -= 1;
      return Optional.empty();
    }
    return Optional.of(Duration.ofNanos((long) Math.ceil((1 - available) / callsPerNano)));
  }
}
