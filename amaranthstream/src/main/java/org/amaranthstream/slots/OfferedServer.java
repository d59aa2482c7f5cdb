package org.amaranthstream.slots;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.WeightVersion;

/**
 * Server whose slots are divided among owners.
 *
 * @param key the server
 * @param service the service that it provides
 * @param slots the number of requests that it runs concurrently
 * @param versions the weight version of each model that it has loaded
 * @param loading the models whose requests it does not start, because it loads weights for them
 */
public record OfferedServer(
    ServerKey key,
    ServiceId service,
    int slots,
    ImmutableMap<ModelId, WeightVersion> versions,
    ImmutableSet<ModelId> loading) {

  /**
   * Returns true if the server can start the items of {@code demand}. A server that reports no
   * version can, as each event is checked when it arrives.
   */
  boolean serves(SlotDemand demand) {
    WeightVersion version = versions.get(demand.model());
    return demand.services().contains(service)
        && !loading.contains(demand.model())
        && (version == null || !demand.minVersion().isAfter(version));
  }
}
