package org.amaranthstream.servers;

import java.util.Collection;
import java.util.OptionalDouble;

/**
 * Tells which servers of a service are much slower than the others.
 *
 * <p>Pure. Answers the load pattern of a server that slows down for some seconds: its items would
 * take several times as long as elsewhere and hold up their groups.
 */
public final class SlowServers {
  /** A server is slow if its events take this many times as long as at the median server. */
  private static final double SLOW_FACTOR = 1.8;

  private final double limitNanos;
  private final long nowNanos;

  private SlowServers(double limitNanos, long nowNanos) {
    this.limitNanos = limitNanos;
    this.nowNanos = nowNanos;
  }

  /** Compares {@code servers} with each other. */
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

  /** Returns true if {@code server} is much slower than the others. */
  public boolean contains(TrackedServer server) {
    OptionalDouble interval = server.averageEventIntervalNanos(nowNanos);
    return interval.isPresent() && interval.getAsDouble() > limitNanos;
  }
}
