package org.amaranthstream.fleet;

import java.time.Duration;
import java.time.InstantSource;
import org.amaranthstream.time.TimerService;

/**
 * A clock that measures the age of a lease and never underestimates it.
 *
 * <p>The monotonic clock stops while a VM is suspended, and the time of day can be set back, so the
 * greater of the two elapsed times counts.
 */
final class LeaseClock {
  private final TimerService timers;
  private final InstantSource timeOfDay;

  /**
   * A reading of both clocks.
   *
   * @param nanos the monotonic time in nanoseconds
   * @param millis the time of day in milliseconds since the epoch
   */
  record Moment(long nanos, long millis) {}

  LeaseClock(TimerService timers, InstantSource timeOfDay) {
    this.timers = timers;
    this.timeOfDay = timeOfDay;
  }

  Moment now() {
    return new Moment(timers.nowNanos(), timeOfDay.millis());
  }

  Duration since(Moment start) {
    Duration monotonic = Duration.ofNanos(timers.nowNanos() - start.nanos());
    Duration timeOfDayAge = Duration.ofMillis(timeOfDay.millis() - start.millis());
    return monotonic.compareTo(timeOfDayAge) > 0 ? monotonic : timeOfDayAge;
  }
}
