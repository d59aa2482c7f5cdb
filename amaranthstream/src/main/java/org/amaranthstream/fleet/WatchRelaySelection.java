package org.amaranthstream.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.Multimaps;
import java.util.Collection;
import java.util.List;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.RegionId;
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

  /** In a fleet with fewer zones their relays are few enough to watch the store themselves. */
  private static final int MIN_ZONES_WITH_ROOTS = 4;

  private static final String ROOTS_KEY = "watch-roots";

  private WatchRelaySelection() {}

  /**
   * Returns the relays that watch the store for the relays of all zones, empty if the relays of
   * each zone watch it themselves. Each is the first relay of its zone; if there are several
   * regions, the two are in different ones, so that a partition of a region leaves each side one.
   */
  static ImmutableList<EntryVmId> roots(Collection<FleetNode> nodes) {
    ImmutableListMultimap<AvailabilityZoneId, FleetNode> zones =
        Multimaps.index(nodes, FleetNode::zone);
    if (zones.keySet().size() < MIN_ZONES_WITH_ROOTS) {
      return ImmutableList.of();
    }
    List<AvailabilityZoneId> order = RendezvousHash.order(ROOTS_KEY, zones.keySet());
    RegionId firstRegion = regionOf(zones.get(order.get(0)));
    AvailabilityZoneId second =
        order.stream()
            .filter(zone -> !regionOf(zones.get(zone)).equals(firstRegion))
            .findFirst()
            .orElse(order.get(1));
    return ImmutableList.of(
        relays(order.get(0), zones.get(order.get(0))).get(0),
        relays(second, zones.get(second)).get(0));
  }

  private static RegionId regionOf(List<FleetNode> zone) {
    return zone.get(0).region();
  }

  /** Returns the relays of {@code zone} among the registered daemons {@code nodes}. */
  static ImmutableList<EntryVmId> relays(AvailabilityZoneId zone, Collection<FleetNode> nodes) {
    List<EntryVmId> members =
        nodes.stream().filter(node -> node.zone().equals(zone)).map(FleetNode::vm).toList();
    return RendezvousHash.order(zone.value(), members).stream()
        .limit(RELAYS_PER_ZONE)
        .collect(ImmutableList.toImmutableList());
  }
}
