package org.amaranthstream.routing;

import static com.google.common.base.Preconditions.checkArgument;

import org.amaranthstream.ids.ServiceId;

/**
 * A service with its share of a route's requests.
 *
 * @param service the service
 * @param weight the share, relative to the other services of the route
 */
public record WeightedService(ServiceId service, int weight) {

  /**
   * Creates a share.
   *
   * @throws IllegalArgumentException if {@code weight} is negative
   */
  public WeightedService {
    checkArgument(weight >= 0, "weight is negative: %s", weight);
  }
}
