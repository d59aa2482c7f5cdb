package org.amaranthstream.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.Multimaps;
import java.util.Collection;
import java.util.List;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.membership.RendezvousHash;

/**
 * Selection of the daemons that keep the records of the streams of an availability zone.
 *
 * <p>A pure function of the registered daemons. The relays of the zone come first, as its daemons
 * have links to them, then the relays of the other zones, so that the records survive the loss of a
 * zone.
 */
final class StreamReplicaSelection {
  private StreamReplicaSelection() {}

  /** Returns the relays of all zones, those that keep the streams of {@code zone} first. */
  static ImmutableList<EntryVmId> order(AvailabilityZoneId zone, Collection<FleetNode> nodes) {
    ImmutableListMultimap<AvailabilityZoneId, FleetNode> byZone =
        Multimaps.index(nodes, FleetNode::zone);
    List<AvailabilityZoneId> others =
        byZone.keySet().stream().filter(other -> !other.equals(zone)).toList();
    ImmutableList.Builder<EntryVmId> ordered = ImmutableList.builder();
    ordered.addAll(WatchRelaySelection.relays(zone, byZone.get(zone)));
    for (AvailabilityZoneId other : RendezvousHash.order(zone.value(), others)) {
      ordered.addAll(WatchRelaySelection.relays(other, byZone.get(other)));
    }
    return ordered.build();
  }
}
