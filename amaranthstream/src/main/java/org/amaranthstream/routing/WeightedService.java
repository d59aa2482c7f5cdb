package org.amaranthstream.routing;

import static com.google.common.base.Preconditions.checkArgument;

import org.amaranthstream.ids.ServiceId;

/**
 * Service with the weight that determines its share of a route's requests.
 *
 * @param service the service
 * @param weight the weight, relative to the other services of the route; 0 for no requests
 */
public record WeightedService(ServiceId service, int weight) {

  /**
   * Creates a weighted service.
   *
   * @throws IllegalArgumentException if {@code weight} is negative
   */
  public WeightedService {
    checkArgument(weight >= 0, "weight must not be negative, but was %s", weight);
  }
}
