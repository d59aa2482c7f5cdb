package org.amaranthstream.servers;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.ids.WeightVersion;

/**
 * Registration of a backend server, as the server wrote it to the store.
 *
 * @param id the name under which the server is registered
 * @param startMillis the start time in Unix milliseconds; together with the id it identifies an
 *     incarnation
 * @param service the service that the server provides
 * @param softwareVersion the version of the server's software; streams continue at equal ones only
 * @param host the IP address of the server
 * @param port the port of the server
 * @param zone the availability zone of the server
 * @param slots the number of requests that the server runs concurrently
 * @param isDraining true if the server accepts no new requests
 * @param versions the weight version of each model that the server has loaded
 */
public record ServerRegistration(
    BackendServerId id,
    long startMillis,
    ServiceId service,
    SoftwareVersion softwareVersion,
    String host,
    int port,
    AvailabilityZoneId zone,
    int slots,
    boolean isDraining,
    ImmutableMap<ModelId, WeightVersion> versions) {

  /** The largest number of slots. The sum over 32,767 servers fits in an {@code int}. */
  public static final int MAX_SLOTS = 1 << 16;

  /**
   * Creates a registration.
   *
   * @throws IllegalArgumentException if {@code slots} or {@code port} is out of range
   */
  public ServerRegistration {
    checkArgument(
        slots > 0 && slots <= MAX_SLOTS,
        "slots must be in the range 1 to %s, but was %s",
        MAX_SLOTS,
        slots);
    checkArgument(
        port > 0 && port < 65_536, "port must be in the range 1 to 65535, but was %s", port);
  }

  /** Returns true if {@code other} was written by the same incarnation. */
  public boolean isSameIncarnation(ServerRegistration other) {
    return id.equals(other.id) && startMillis == other.startMillis;
  }
}
