package org.amaranthstream.scaling;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.duties.ApiReply;

/**
 * The orders that differ from what the platform has accepted, one call for each group at a time.
 *
 * <p>An order names a number of servers and not a difference, so a newer one replaces an older one
 * that was not accepted: while the platform's API is away, one order waits for each group, not one
 * for each decision. A group of which the platform has no further servers is left alone for a
 * while, which doubles each time. Callers pass the monotonic time. Not thread safe.
 */
public final class ServerOrders {
  private static final Duration RETRY_DELAY = Duration.ofMillis(500);
  private static final Duration MIN_UNAVAILABLE = Duration.ofSeconds(5);
  private static final Duration MAX_UNAVAILABLE = Duration.ofMinutes(1);

  private final Map<ServerGroup, Integer> accepted = new HashMap<>();
  private final Map<ServerGroup, Integer> wanted = new HashMap<>();
  private final Map<ServerGroup, Backoff> unavailable = new HashMap<>();
  private Optional<ServerGroup> inFlight = Optional.empty();
  private Optional<Long> notBeforeNanos = Optional.empty();

  /**
   * An order to send.
   *
   * @param servers the number of servers of the group, those that serve already included
   */
  public record Order(ServerGroup group, int servers) {}

  private record Backoff(long untilNanos, Duration delay) {}

  private ServerOrders() {}

  /** Returns orders that start from the servers that are present. */
  public static ServerOrders startingWith(ImmutableMap<ServerGroup, Integer> present) {
    ServerOrders orders = new ServerOrders();
    orders.accepted.putAll(checkNotNull(present, "present"));
    return orders;
  }

  /** Replaces the wanted numbers of servers; groups that are missing want none. */
  public void setWanted(ImmutableMap<ServerGroup, Integer> servers) {
    wanted.clear();
    accepted.keySet().forEach(group -> wanted.put(group, 0));
    wanted.putAll(servers);
  }

  /** Records that the platform has reclaimed the servers of a group. */
  public void onReclaimed(ServerGroup group) {
    accepted.put(group, 0);
  }

  /** Returns the numbers of servers that the platform has accepted. */
  public ImmutableMap<ServerGroup, Integer> accepted() {
    return ImmutableMap.copyOf(accepted);
  }

  /** Returns the groups of which the platform lately had no further servers. */
  public ImmutableSet<ServerGroup> unavailable(long nowNanos) {
    return unavailable.entrySet().stream()
        .filter(entry -> nowNanos - entry.getValue().untilNanos() < 0)
        .map(Map.Entry::getKey)
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Returns the next order to send, the greatest increase first. */
  public Optional<Order> next(long nowNanos) {
    boolean mustWait =
        inFlight.isPresent() || (notBeforeNanos.isPresent() && nowNanos < notBeforeNanos.get());
    if (mustWait) {
      return Optional.empty();
    }
    ImmutableSet<ServerGroup> excluded = unavailable(nowNanos);
    Optional<ServerGroup> group =
        wanted.keySet().stream()
            .filter(candidate -> increase(candidate) != 0)
            .filter(candidate -> increase(candidate) < 0 || !excluded.contains(candidate))
            .max(
                Comparator.comparingInt(this::increase)
                    .thenComparing(candidate -> candidate.zone().value())
                    .thenComparing(ServerGroup::kind));
    inFlight = group;
    return group.map(found -> new Order(found, wanted.get(found)));
  }

  private int increase(ServerGroup group) {
    return wanted.getOrDefault(group, 0) - accepted.getOrDefault(group, 0);
  }

  /** Records the reply to an order. */
  public void onReply(Order order, ApiReply reply, long nowNanos) {
    inFlight = Optional.empty();
    switch (reply) {
      case ACCEPTED -> {
        accepted.put(order.group(), order.servers());
        unavailable.remove(order.group());
      }
      case UNAVAILABLE, REJECTED -> backOff(order.group(), nowNanos);
      default -> notBeforeNanos = Optional.of(nowNanos + RETRY_DELAY.toNanos());
    }
  }

  private void backOff(ServerGroup group, long nowNanos) {
    Backoff before = unavailable.get(group);
    Duration doubled = before == null ? MIN_UNAVAILABLE : before.delay().multipliedBy(2);
    Duration delay = doubled.compareTo(MAX_UNAVAILABLE) < 0 ? doubled : MAX_UNAVAILABLE;
    unavailable.put(group, new Backoff(nowNanos + delay.toNanos(), delay));
  }
}
