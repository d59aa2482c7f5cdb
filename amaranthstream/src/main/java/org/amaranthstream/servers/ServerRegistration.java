package org.amaranthstream.servers;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.WeightVersion;

/**
 * What a backend server says of itself.
 *
 * @param id the name under which it is registered
 * @param startMillis Unix milliseconds of its start; with the id it names an incarnation
 * @param service the service that it provides
 * @param host its IP number
 * @param port its port
 * @param zone its availability zone
 * @param slots the number of requests that it runs at once
 * @param isDraining true if it takes no new requests
 * @param versions the weight version of each model that it holds
 */
public record ServerRegistration(
    BackendServerId id,
    long startMillis,
    ServiceId service,
    String host,
    int port,
    AvailabilityZoneId zone,
    int slots,
    boolean isDraining,
    ImmutableMap<ModelId, WeightVersion> versions) {

  /**
   * Creates an entry.
   *
   * @throws IllegalArgumentException if there are no slots or the port is out of range
   */
  public ServerRegistration {
    checkArgument(slots > 0, "slots are not positive: %s", slots);
    checkArgument(port > 0 && port < 65_536, "port is out of range: %s", port);
  }

  /** Returns true if {@code other} is of the same incarnation. */
  public boolean isSameIncarnation(ServerRegistration other) {
    return id.equals(other.id) && startMillis == other.startMillis;
  }
}
