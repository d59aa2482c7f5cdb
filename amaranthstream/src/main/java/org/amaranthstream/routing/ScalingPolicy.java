package org.amaranthstream.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.OptionalDouble;
import org.amaranthstream.ids.AvailabilityZoneId;

/**
 * Bounds and prices of the backend servers that may be ordered for a service.
 *
 * @param minServers the fewest servers of the service in an availability zone
 * @param maxServers the most servers of the service in an availability zone
 * @param bootTime the time from an order until the new servers serve
 * @param spotPriceShare the price of a server that may be reclaimed, as a share of the price of
 *     other servers; empty if there are no such servers
 * @param zonePrices the price of a second of a server, by availability zone
 */
public record ScalingPolicy(
    int minServers,
    int maxServers,
    Duration bootTime,
    OptionalDouble spotPriceShare,
    ImmutableMap<AvailabilityZoneId, Double> zonePrices) {

  /**
   * Creates a policy.
   *
   * @throws IllegalArgumentException if {@code minServers} is negative or above {@code maxServers}
   */
  public ScalingPolicy {
    checkNotNull(bootTime, "bootTime");
    checkArgument(
        0 <= minServers && minServers <= maxServers,
        "minServers must be between 0 and maxServers, but was %s with maxServers %s",
        minServers,
        maxServers);
  }
}
