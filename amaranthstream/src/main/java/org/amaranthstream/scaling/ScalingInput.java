package org.amaranthstream.scaling;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.amaranthstream.routing.ScalingPolicy;

/**
 * What a decision about the servers of one service depends on.
 *
 * @param policy the bounds and prices
 * @param work the work that waits or is known to come
 * @param ready the servers that serve and are not leaving, by group
 * @param ordered the servers that are ordered, by group, with those that serve already
 * @param unavailable the groups of which the platform lately had no further servers
 */
public record ScalingInput(
    ScalingPolicy policy,
    ImmutableList<ExpectedWork> work,
    ImmutableMap<ServerGroup, Integer> ready,
    ImmutableMap<ServerGroup, Integer> ordered,
    ImmutableSet<ServerGroup> unavailable) {

  /** Creates an input. */
  public ScalingInput {
    checkNotNull(policy, "policy");
    checkNotNull(work, "work");
    checkNotNull(ready, "ready");
    checkNotNull(ordered, "ordered");
    checkNotNull(unavailable, "unavailable");
  }
}
