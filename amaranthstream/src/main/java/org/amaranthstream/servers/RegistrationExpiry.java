package org.amaranthstream.servers;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import org.amaranthstream.platform.StoreMonitor;

/**
 * Decision whether a registration that was removed from the store may have expired in an outage, in
 * which its server, still running, could not renew it either. Such a server registers again soon
 * after the outage; any other removal means that the server is gone. An outage that is shorter than
 * the time after which registrations expire, such as one failed call, explains no removal.
 *
 * <p>Not thread safe: used on the thread of the monitor.
 */
public final class RegistrationExpiry {
  /** The time after an outage within which a running server has registered again. */
  private static final Duration RETURN_TIME = Duration.ofMillis(2_200);

  /**
   * A registration expires after three intervals, the first of which may precede the outage. One
   * that expires after a shorter outage, because its third renewal is late, is back with it.
   */
  private static final int MIN_MISSED_INTERVALS = 2;

  private final StoreMonitor monitor;
  private final Duration minOutage;

  private RegistrationExpiry(StoreMonitor monitor, Duration minOutage) {
    this.monitor = monitor;
    this.minOutage = minOutage;
  }

  /**
   * Returns the decision for servers that renew their registration every {@code renewalInterval}.
   */
  public static RegistrationExpiry of(StoreMonitor monitor, Duration renewalInterval) {
    return new RegistrationExpiry(
        checkNotNull(monitor, "monitor"), renewalInterval.multipliedBy(MIN_MISSED_INTERVALS));
  }

  /** Returns for how long a server stays in use whose registration was removed just now. */
  public Duration timeToReturn() {
    return monitor
        .lastOutage()
        .filter(outage -> outage.length().compareTo(minOutage) >= 0)
        .map(outage -> RETURN_TIME.minus(outage.sinceEnd().orElse(Duration.ZERO)))
        .filter(time -> !time.isNegative())
        .orElse(Duration.ZERO);
  }
}
