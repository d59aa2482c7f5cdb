package org.amaranthstream.servers;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.RegionId;

/**
 * Choice of the server for a request, by load and distance.
 *
 * <p>The choice depends only on the arguments and has no side effects. It is made for a load of
 * mostly short requests and few servers in each availability zone. A server in the local zone is
 * preferred until its slots fill up; then servers in other zones share the rest. A server that has
 * just failed or was full is chosen only if there is no other.
 */
public final class ServerChoice {
  /**
   * The amount by which a server in another zone of the region must be less loaded than a local one
   * to be chosen, as a share of the slots.
   */
  private static final double OTHER_ZONE_PENALTY = 0.25;

  private static final double OTHER_REGION_PENALTY = 0.6;
  private static final double AVOIDED_PENALTY = 100;

  private final AvailabilityZoneId zone;
  private final Regions regions;

  /** Lookup of the region of an availability zone. */
  @FunctionalInterface
  public interface Regions {
    /** Returns the region of {@code zone}, empty if it is unknown. */
    Optional<RegionId> regionOf(AvailabilityZoneId zone);
  }

  private ServerChoice(AvailabilityZoneId zone, Regions regions) {
    this.zone = zone;
    this.regions = regions;
  }

  /** Returns a choice for requests that arrive at a daemon in {@code zone}. */
  public static ServerChoice in(AvailabilityZoneId zone, Regions regions) {
    return new ServerChoice(checkNotNull(zone, "zone"), checkNotNull(regions, "regions"));
  }

  /** Returns the best of the servers that satisfy {@code isAllowed}, empty if none does. */
  public Optional<TrackedServer> choose(
      Collection<TrackedServer> servers, Predicate<TrackedServer> isAllowed, long nowNanos) {
    return choose(servers, isAllowed, server -> 0, nowNanos);
  }

  /**
   * Returns the best of the servers that satisfy {@code isAllowed}, empty if none does.
   *
   * @param requestCost what the request costs at a server beside the server's load and distance, as
   *     a share of the time of a run
   */
  public Optional<TrackedServer> choose(
      Collection<TrackedServer> servers,
      Predicate<TrackedServer> isAllowed,
      ToDoubleFunction<TrackedServer> requestCost,
      long nowNanos) {
    TrackedServer best = null;
    double bestCost = Double.MAX_VALUE;
    for (TrackedServer server : servers) {
      double cost = cost(server, nowNanos) + requestCost.applyAsDouble(server);
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

  /**
   * Returns the amount by which a server in {@code other} must be less loaded than a local one to
   * be chosen, as a share of the slots.
   */
  public double distance(AvailabilityZoneId other) {
    if (other.equals(zone)) {
      return 0;
    }
    boolean sameRegion = regions.regionOf(zone).equals(regions.regionOf(other));
    return sameRegion ? OTHER_ZONE_PENALTY : OTHER_REGION_PENALTY;
  }
}
