package org.amaranthstream.fleet;

import java.time.Duration;
import java.time.InstantSource;
import org.amaranthstream.time.TimerService;

/**
 * Tells how long a lease has certainly been running.
 *
 * <p>The monotonic clock stands still while a VM is suspended and the time of day may step back, so
 * the greater of both ages counts.
 */
final class LeaseClock {
  private final TimerService timers;
  private final InstantSource timeOfDay;

  /**
   * A moment on both clocks.
   *
   * @param nanos the monotonic clock
   * @param millis the time of day
   */
  record Moment(long nanos, long millis) {}

  LeaseClock(TimerService timers, InstantSource timeOfDay) {
    this.timers = timers;
    this.timeOfDay = timeOfDay;
  }

  Moment now() {
    return new Moment(timers.nowNanos(), timeOfDay.millis());
  }

  Duration since(Moment moment) {
    Duration monotonic = Duration.ofNanos(timers.nowNanos() - moment.nanos());
    Duration timeOfDayAge = Duration.ofMillis(timeOfDay.millis() - moment.millis());
    return monotonic.compareTo(timeOfDayAge) > 0 ? monotonic : timeOfDayAge;
  }
}
