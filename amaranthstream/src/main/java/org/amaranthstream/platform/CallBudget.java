package org.amaranthstream.platform;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.time.TimerService;

/**
 * A token bucket that limits the rate of platform calls and allows bursts of two seconds' worth.
 *
 * <p>Thread safe.
 */
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
    checkArgument(callsPerSecond > 0, "callsPerSecond must be positive: %s", callsPerSecond);
    this.timers = timers;
    this.callsPerNano = callsPerSecond / NANOS_PER_SECOND;
    this.capacity = (double) callsPerSecond * BURST_SECONDS;
    this.available = capacity;
    this.refilledNanos = timers.nowNanos();
  }

  /**
   * Takes one call from the budget.
   *
   * @return empty if the call may be made, otherwise the time until the next call may be made
   */
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
