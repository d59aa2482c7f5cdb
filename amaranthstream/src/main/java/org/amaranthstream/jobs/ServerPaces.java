package org.amaranthstream.jobs;

import java.time.Duration;
import java.util.Collection;
import java.util.OptionalDouble;
import org.amaranthstream.servers.ServerChoice;
import org.amaranthstream.servers.TrackedServer;

/**
 * Expected duration of runs at the servers of a service.
 *
 * <p>Made for servers that differ by up to a factor of a few. A server without recent events is
 * taken to be a typical one, so that it is tried. Immutable, apart from the state of the servers.
 */
final class ServerPaces {
  /**
   * The slowdown of a server whose slots are all in use, relative to an idle one. Makes equal
   * servers fill evenly, and a faster one first, up to the point where others end earlier.
   */
  private static final double CROWDING = 0.25;

  /** The multiple of the typical interval above which long items do not start at a server. */
  private static final double SLOW_FACTOR = 1.5;

  private static final double UNKNOWN_PACE_NANOS = Duration.ofMillis(40).toNanos();

  private final ServerChoice choice;
  private final double typicalNanos;
  private final long nowNanos;

  private ServerPaces(ServerChoice choice, double typicalNanos, long nowNanos) {
    this.choice = choice;
    this.typicalNanos = typicalNanos;
    this.nowNanos = nowNanos;
  }

  /** Returns the paces of {@code servers}. */
  static ServerPaces of(Collection<TrackedServer> servers, ServerChoice choice, long nowNanos) {
    double[] known =
        servers.stream()
            .map(server -> server.paceNanos(nowNanos))
            .filter(OptionalDouble::isPresent)
            .mapToDouble(OptionalDouble::getAsDouble)
            .sorted()
            .toArray();
    double typical = known.length == 0 ? UNKNOWN_PACE_NANOS : known[(known.length - 1) / 2];
    return new ServerPaces(choice, typical, nowNanos);
  }

  /** Returns the interval between two events at {@code server}, in nanoseconds. */
  double intervalNanos(TrackedServer server) {
    return server.paceNanos(nowNanos).orElse(typicalNanos);
  }

  /** Returns true if {@code server} is so slow that long items are better off waiting. */
  boolean isSlow(TrackedServer server) {
    return intervalNanos(server) > SLOW_FACTOR * typicalNanos;
  }

  /** Returns the expected duration of {@code events} events at {@code server}, in nanoseconds. */
  double durationNanos(TrackedServer server, double events) {
    double crowded = server.load() + choice.distance(server.registration().zone());
    return events * intervalNanos(server) * (1 + CROWDING * crowded);
  }
}
