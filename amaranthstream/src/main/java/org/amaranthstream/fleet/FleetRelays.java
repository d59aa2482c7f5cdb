package org.amaranthstream.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.amaranthstream.ids.EntryVmId;

/**
 * The relays of the zones, as this daemon sees the fleet. Not thread safe: used on the thread of
 * the fleet.
 */
public final class FleetRelays implements FleetListener {
  private final FleetNode self;
  private final Fleet fleet;
  private Optional<ImmutableList<EntryVmId>> all = Optional.empty();

  private FleetRelays(FleetNode self, Fleet fleet) {
    this.self = self;
    this.fleet = fleet;
  }

  /** Returns the relays that the daemon {@code self} sees. */
  public static FleetRelays create(FleetNode self, Fleet fleet) {
    FleetRelays relays = new FleetRelays(checkNotNull(self, "self"), checkNotNull(fleet, "fleet"));
    fleet.addListener(relays);
    return relays;
  }

  @Override
  public void onNodesChanged(NodesChange change) {
    all = Optional.empty();
  }

  /** Returns the relays of all zones, those of the own zone first. */
  public ImmutableList<EntryVmId> all() {
    if (all.isEmpty()) {
      all = Optional.of(StreamReplicaSelection.order(self.zone(), fleet.nodes()));
    }
    return all.get();
  }

  /** Returns the relays of all zones other than this daemon, those of the own zone first. */
  public ImmutableList<EntryVmId> others() {
    return all().stream()
        .filter(vm -> !vm.equals(self.vm()))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns true if this daemon is a relay. */
  public boolean isRelay() {
    return all().contains(self.vm());
  }
}
