package org.amaranthstream.servers;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Predicate;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.RegionId;

/**
 * Chooses the server for one request: the least loaded, nearer ones first while they have room.
 *
 * <p>Pure. Answers the load pattern in which most requests are short and each zone has few servers:
 * a server of the own zone wins until its slots fill, then the others share the rest. Servers that
 * just failed or were full are the last resort.
 */
public final class ServerChoice {
  /** Load that a server of another zone of the region must be below a near one to be chosen. */
  private static final double OTHER_ZONE_PENALTY = 0.25;

  private static final double OTHER_REGION_PENALTY = 0.6;
  private static final double AVOIDED_PENALTY = 100;

  private final AvailabilityZoneId zone;
  private final Regions regions;

  /** Tells the region of an availability zone. */
  @FunctionalInterface
  public interface Regions {
    /** Returns the region of {@code zone}, empty if it is not known. */
    Optional<RegionId> regionOf(AvailabilityZoneId zone);
  }

  private ServerChoice(AvailabilityZoneId zone, Regions regions) {
    this.zone = zone;
    this.regions = regions;
  }

  /** Returns a choice for requests that enter in {@code zone}. */
  public static ServerChoice in(AvailabilityZoneId zone, Regions regions) {
    return new ServerChoice(checkNotNull(zone, "zone"), checkNotNull(regions, "regions"));
  }

  /** Returns the best of {@code servers} that {@code isAllowed}, empty if there is none. */
  public Optional<TrackedServer> choose(
      Collection<TrackedServer> servers, Predicate<TrackedServer> isAllowed, long nowNanos) {
    TrackedServer best = null;
    double bestCost = Double.MAX_VALUE;
    for (TrackedServer server : servers) {
      double cost = cost(server, nowNanos);
      if (cost < bestCost && isAllowed.test(server)) {
        best = server;
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best);
  }

  private double cost(TrackedServer server, long nowNanos) {
    double penalty = server.isAvoided(nowNanos) ? AVOIDED_PENALTY : 0;
    return server.load() + distance(server.registration().zone()) + penalty;
  }

  private double distance(AvailabilityZoneId other) {
    if (other.equals(zone)) {
      return 0;
    }
    boolean sameRegion = regions.regionOf(zone).equals(regions.regionOf(other));
    return sameRegion ? OTHER_ZONE_PENALTY : OTHER_REGION_PENALTY;
  }
}
