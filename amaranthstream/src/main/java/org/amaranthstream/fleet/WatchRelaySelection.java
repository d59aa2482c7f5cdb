package org.amaranthstream.fleet;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.List;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.membership.RendezvousHash;

/**
 * Selection of the daemons that watch the store for their availability zone.
 *
 * <p>A pure function of the registered daemons, so that all daemons of a zone agree once they have
 * the same view, without an election. Made for a fleet whose watches of their own would cost more
 * calls to the store than all other work together. Each zone has two relays, so that the loss of
 * one delays nothing.
 */
final class WatchRelaySelection {
  private static final int RELAYS_PER_ZONE = 2;

  private WatchRelaySelection() {}

  /** Returns the relays of {@code zone} among the registered daemons {@code nodes}. */
  static ImmutableList<EntryVmId> relays(AvailabilityZoneId zone, Collection<FleetNode> nodes) {
    List<EntryVmId> members =
        nodes.stream().filter(node -> node.zone().equals(zone)).map(FleetNode::vm).toList();
    return RendezvousHash.order(zone.value(), members).stream()
        .limit(RELAYS_PER_ZONE)
        .collect(ImmutableList.toImmutableList());
  }
}
