package org.amaranthstream.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.Multimaps;
import java.util.Collection;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;

/**
 * Selection of the links that a daemon keeps open: the relays of a zone keep links to all daemons
 * of their zone and to the relays of the other zones, any other daemon to the relays of its zone.
 *
 * <p>A pure function of the registered daemons. With a link between every two daemons of a zone,
 * the handshakes when all daemons start at once grow with the square of the zone.
 */
final class RelayLinks {
  private RelayLinks() {}

  /** Returns the daemons to which {@code self} keeps links. */
  static ImmutableList<EntryVmId> targets(FleetNode self, Collection<FleetNode> nodes) {
    ImmutableList<EntryVmId> own = WatchRelaySelection.relays(self.zone(), nodes);
    ImmutableList<EntryVmId> targets = own.contains(self.vm()) ? relayTargets(self, nodes) : own;
    return targets.stream()
        .filter(vm -> !vm.equals(self.vm()))
        .collect(ImmutableList.toImmutableList());
  }

  private static ImmutableList<EntryVmId> relayTargets(
      FleetNode self, Collection<FleetNode> nodes) {
    ImmutableListMultimap<AvailabilityZoneId, FleetNode> zones =
        Multimaps.index(nodes, FleetNode::zone);
    ImmutableList.Builder<EntryVmId> targets = ImmutableList.builder();
    zones.get(self.zone()).forEach(node -> targets.add(node.vm()));
    for (AvailabilityZoneId zone : zones.keySet()) {
      if (!zone.equals(self.zone())) {
        targets.addAll(WatchRelaySelection.relays(zone, zones.get(zone)));
      }
    }
    return targets.build();
  }
}
