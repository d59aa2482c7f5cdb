package org.amaranthstream.jobs;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import org.amaranthstream.routing.Route;
import org.amaranthstream.servers.TrackedServer;

/**
 * Decisions about reward calls: how many run at once, in which order, and for how long.
 *
 * <p>The methods are pure functions. They are made for a service that also handles lookups of
 * callers, while the items of a group end within a short time, so that many reward calls become
 * ready at once. A daemon uses at most half of the slots, so that lookups, which have shorter
 * latency objectives, find free ones. A call that its server does not answer is repeated at another
 * one after a short timeout, because a step waits for it; the timeout grows with each repetition,
 * so that a service that is slow throughout is not loaded with calls that it cannot finish.
 */
final class RewardCallPolicy {
  private static final int OBJECTIVES_PER_FIRST_TIMEOUT = 2;
  private static final int MAX_DOUBLINGS = 4;

  private RewardCallPolicy() {}

  /** Returns the maximum number of concurrent reward calls of this daemon at {@code servers}. */
  static int maxConcurrent(Collection<TrackedServer> servers) {
    return servers.stream()
        .mapToInt(server -> Math.max(1, server.registration().slots() / 2))
        .sum();
  }

  /**
   * Returns the order of the items of a job: first those of the group with the fewest items that
   * have no result yet, because a step needs complete groups.
   */
  static Comparator<ItemProgress> order(OwnedJob job) {
    return Comparator.comparingInt(item -> job.openItemsInGroupOf(item));
  }

  /**
   * Returns the timeout of a call.
   *
   * @param unanswered the number of earlier calls for the same item that had no valid response
   */
  static Duration timeout(Route route, int unanswered) {
    long factor = (long) OBJECTIVES_PER_FIRST_TIMEOUT << Math.min(unanswered, MAX_DOUBLINGS);
    Duration timeout = route.latencyObjective().multipliedBy(factor);
    return timeout.compareTo(route.timeout()) < 0 ? timeout : route.timeout();
  }

  /**
   * Returns the number of failure responses after which an item is given up. The limits of both
   * routes apply, so that no item is given up earlier than either allows.
   */
  static int maxFailures(Route rewardRoute, Route batchRoute) {
    return Math.max(rewardRoute.maxAttempts(), batchRoute.maxAttempts());
  }
}
