package org.amaranthstream.servers;

import java.util.Collection;
import java.util.OptionalDouble;

/**
 * Set of the servers of a service that are much slower than the others.
 *
 * <p>Immutable, apart from the state of the servers. It guards against a server that slows down for
 * some seconds: its items would take several times as long as at other servers and delay their
 * groups.
 */
public final class SlowServers {
  /** The multiple of the median event interval above which a server counts as slow. */
  private static final double SLOW_FACTOR = 1.8;

  private final double limitNanos;
  private final long nowNanos;

  private SlowServers(double limitNanos, long nowNanos) {
    this.limitNanos = limitNanos;
    this.nowNanos = nowNanos;
  }

  /** Returns the slow servers among {@code servers}. */
  public static SlowServers among(Collection<TrackedServer> servers, long nowNanos) {
    double[] intervals =
        servers.stream()
            .map(server -> server.averageEventIntervalNanos(nowNanos))
            .filter(OptionalDouble::isPresent)
            .mapToDouble(OptionalDouble::getAsDouble)
            .sorted()
            .toArray();
    double limit =
        intervals.length == 0
            ? Double.MAX_VALUE
            : intervals[(intervals.length - 1) / 2] * SLOW_FACTOR;
    return new SlowServers(limit, nowNanos);
  }

  /**
   * Returns true if {@code server} is much slower than the median; false if its speed is unknown.
   */
  public boolean contains(TrackedServer server) {
    OptionalDouble interval = server.averageEventIntervalNanos(nowNanos);
    return interval.isPresent() && interval.getAsDouble() > limitNanos;
  }
}
