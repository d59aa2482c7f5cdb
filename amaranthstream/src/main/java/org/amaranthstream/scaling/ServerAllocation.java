package org.amaranthstream.scaling;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.routing.ScalingPolicy;

/**
 * The cheapest servers that are enough, also when all reclaimable servers of one zone go at once.
 *
 * <p>For each number of reclaimable servers that a zone may lose, takes the cheapest servers until
 * as many more than required are there, and then the cheapest of these choices. Servers that are
 * kept cost nothing more, so the choice adds to them.
 */
public final class ServerAllocation {
  private final ScalingPolicy policy;
  private final ImmutableSet<ServerGroup> unavailable;

  private ServerAllocation(ScalingPolicy policy, ImmutableSet<ServerGroup> unavailable) {
    this.policy = policy;
    this.unavailable = unavailable;
  }

  /**
   * Returns an allocation.
   *
   * @param unavailable the groups of which the platform has no further servers at the moment
   */
  public static ServerAllocation of(ScalingPolicy policy, ImmutableSet<ServerGroup> unavailable) {
    return new ServerAllocation(
        checkNotNull(policy, "policy"), checkNotNull(unavailable, "unavailable"));
  }

  /** Returns the price of a second of one server. */
  double price(ServerGroup group) {
    double price = policy.zonePrices().getOrDefault(group.zone(), 1.0);
    return group.kind() == ServerKind.REGULAR ? price : price * policy.spotPriceShare().orElse(1.0);
  }

  private static int sum(Map<ServerGroup, Integer> counts) {
    return counts.values().stream().mapToInt(Integer::intValue).sum();
  }

  static int inZone(Map<ServerGroup, Integer> counts, AvailabilityZoneId zone) {
    return counts.getOrDefault(new ServerGroup(zone, ServerKind.REGULAR), 0)
        + counts.getOrDefault(new ServerGroup(zone, ServerKind.RECLAIMABLE), 0);
  }

  /** Returns the servers that are left when the worst zone loses its reclaimable servers. */
  static int leftAfterReclaim(Map<ServerGroup, Integer> counts) {
    int worst =
        counts.entrySet().stream()
            .filter(entry -> entry.getKey().kind() == ServerKind.RECLAIMABLE)
            .mapToInt(Map.Entry::getValue)
            .max()
            .orElse(0);
    return sum(counts) - worst;
  }

  /**
   * Returns the cheapest allocation that contains {@code kept} and is enough. If the bounds or the
   * platform allow too few servers, it is the one that leaves the most.
   *
   * @param required the servers that must be left when a zone loses its reclaimable servers
   */
  public ImmutableMap<ServerGroup, Integer> cheapest(
      int required, ImmutableMap<ServerGroup, Integer> kept) {
    Optional<Map<ServerGroup, Integer>> best = Optional.empty();
    int mostPerZone = policy.spotPriceShare().isPresent() ? policy.maxServers() : 0;
    for (int perZone = 0; perZone <= mostPerZone; perZone++) {
      Map<ServerGroup, Integer> candidate = fill(required, perZone, kept);
      if (best.isEmpty() || isBetter(candidate, best.get(), required)) {
        best = Optional.of(candidate);
      }
    }
    return ImmutableMap.copyOf(best.orElseThrow());
  }

  private boolean isBetter(
      Map<ServerGroup, Integer> candidate, Map<ServerGroup, Integer> than, int required) {
    int left = Math.min(required, leftAfterReclaim(candidate));
    int leftBefore = Math.min(required, leftAfterReclaim(than));
    return left > leftBefore || (left == leftBefore && cost(candidate) < cost(than));
  }

  double cost(Map<ServerGroup, Integer> counts) {
    return counts.entrySet().stream()
        .mapToDouble(entry -> price(entry.getKey()) * entry.getValue())
        .sum();
  }

  private Map<ServerGroup, Integer> fill(
      int required, int perZone, ImmutableMap<ServerGroup, Integer> kept) {
    Map<ServerGroup, Integer> counts = new HashMap<>(kept);
    List<ServerGroup> byPrice = new ArrayList<>();
    for (AvailabilityZoneId zone : policy.zonePrices().keySet()) {
      for (ServerKind kind : ServerKind.values()) {
        byPrice.add(new ServerGroup(zone, kind));
      }
    }
    byPrice.sort(
        Comparator.comparingDouble(this::price)
            .thenComparing(group -> group.zone().value())
            .thenComparing(ServerGroup::kind));
    for (ServerGroup group : byPrice) {
      while (inZone(counts, group.zone()) < policy.minServers() && add(counts, group, perZone)) {}
    }
    for (ServerGroup group : byPrice) {
      while (leftAfterReclaim(counts) < required && add(counts, group, perZone)) {}
    }
    return counts;
  }

  private boolean add(Map<ServerGroup, Integer> counts, ServerGroup group, int perZone) {
    int limit = group.kind() == ServerKind.RECLAIMABLE ? perZone : policy.maxServers();
    boolean isAllowed =
        !unavailable.contains(group)
            && counts.getOrDefault(group, 0) < limit
            && inZone(counts, group.zone()) < policy.maxServers();
    if (isAllowed) {
      counts.merge(group, 1, Integer::sum);
    }
    return isAllowed;
  }
}
