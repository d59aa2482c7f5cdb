package org.amaranthstream.scaling;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides how many servers of a service to order, by zone and kind.
 *
 * <p>The aim is that all known work is done in time, also when one zone loses its reclaimable
 * servers, at the least price. Made for work that comes in steps and waves: servers are added as
 * soon as they are required, and released once they have not been required for the time after which
 * an order pays. Releasing a server and ordering it again costs its boot time, in money and in
 * capacity, so this time is a multiple of the boot time.
 *
 * <p>Keeps only the requirements of that time. Pure apart from that; the caller passes the
 * monotonic time. Not thread safe.
 */
public final class ScalingPlanner {
  private static final int PAYBACK_BOOT_TIMES = 3;

  private final ArrayDeque<Requirement> requirements = new ArrayDeque<>();

  private record Requirement(int servers, long atNanos) {}

  private ScalingPlanner() {}

  /** Returns a planner of one service. */
  public static ScalingPlanner create() {
    return new ScalingPlanner();
  }

  /** Returns the time after which an order pays. */
  static Duration payback(Duration bootTime) {
    return bootTime.multipliedBy(PAYBACK_BOOT_TIMES);
  }

  /** Returns the number of servers to order, by group; groups without servers may be missing. */
  public ImmutableMap<ServerGroup, Integer> plan(ScalingInput input, long nowNanos) {
    Duration bootTime = input.policy().bootTime();
    int present = input.ready().values().stream().mapToInt(Integer::intValue).sum();
    int required = RequiredServers.of(input.work(), present, bootTime);
    remember(required, payback(bootTime), nowNanos);
    int requiredLately = requirements.stream().mapToInt(Requirement::servers).max().orElse(0);

    ServerAllocation allocation = ServerAllocation.of(input.policy(), input.unavailable());
    ImmutableMap<ServerGroup, Integer> ordered = input.ordered();
    if (ServerAllocation.leftAfterReclaim(ordered) < required) {
      return allocation.cheapest(required, ordered);
    }
    return release(input, allocation, requiredLately);
  }

  private void remember(int required, Duration payback, long nowNanos) {
    requirements.add(new Requirement(required, nowNanos));
    requirements.removeIf(past -> nowNanos - past.atNanos() > payback.toNanos());
  }

  /**
   * Approaches the cheapest allocation for what was required lately: first orders its servers, then
   * releases the others once these serve.
   */
  private static ImmutableMap<ServerGroup, Integer> release(
      ScalingInput input, ServerAllocation allocation, int required) {
    ImmutableMap<ServerGroup, Integer> ordered = input.ordered();
    ImmutableMap<ServerGroup, Integer> target = allocation.cheapest(required, present(input));
    if (allocation.cost(target) >= allocation.cost(ordered)
        || ServerAllocation.leftAfterReclaim(target) < required) {
      return ordered;
    }
    Map<ServerGroup, Integer> result = new HashMap<>(ordered);
    target.forEach((group, count) -> raise(input, result, group, count));
    Optional<ServerGroup> dearest = dearestSurplus(input, allocation, result, target, required);
    while (dearest.isPresent()) {
      result.merge(dearest.get(), -1, Integer::sum);
      dearest = dearestSurplus(input, allocation, result, target, required);
    }
    return ImmutableMap.copyOf(result);
  }

  /** Groups that cannot grow now still keep the servers that they have. */
  private static ImmutableMap<ServerGroup, Integer> present(ScalingInput input) {
    return ImmutableMap.copyOf(Maps.filterKeys(input.ready(), input.unavailable()::contains));
  }

  private static void raise(
      ScalingInput input, Map<ServerGroup, Integer> result, ServerGroup group, int count) {
    int present = result.getOrDefault(group, 0);
    int room =
        Math.max(0, input.policy().maxServers() - ServerAllocation.inZone(result, group.zone()));
    if (count > present) {
      result.put(group, present + Math.min(room, count - present));
    }
  }

  /** Returns the dearest group with a server that is neither in the target nor needed now. */
  private static Optional<ServerGroup> dearestSurplus(
      ScalingInput input,
      ServerAllocation allocation,
      Map<ServerGroup, Integer> result,
      ImmutableMap<ServerGroup, Integer> target,
      int required) {
    return result.keySet().stream()
        .filter(group -> result.get(group) > target.getOrDefault(group, 0))
        .filter(group -> isEnoughWithout(input, result, group, required))
        .max(
            Comparator.comparingDouble(allocation::price)
                .thenComparing(group -> group.zone().value()));
  }

  /** Counts only servers that serve, so that none is released before its replacement serves. */
  private static boolean isEnoughWithout(
      ScalingInput input, Map<ServerGroup, Integer> result, ServerGroup group, int required) {
    Map<ServerGroup, Integer> serving = new HashMap<>();
    result.forEach(
        (key, count) -> serving.put(key, Math.min(count, input.ready().getOrDefault(key, 0))));
    int released = serving.getOrDefault(group, 0);
    if (released < result.get(group)) {
      return true;
    }
    serving.put(group, released - 1);
    return ServerAllocation.leftAfterReclaim(serving) >= required
        && ServerAllocation.inZone(serving, group.zone()) >= input.policy().minServers();
  }
}
