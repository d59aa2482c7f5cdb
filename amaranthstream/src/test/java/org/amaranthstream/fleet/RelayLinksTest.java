package org.amaranthstream.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RegionId;
import org.junit.jupiter.api.Test;

/** Links of fleets of several sizes. */
class RelayLinksTest {

  private static List<FleetNode> fleet(int zones, int perZone) {
    List<FleetNode> nodes = new ArrayList<>();
    for (int i = 0; i < zones * perZone; i++) {
      nodes.add(
          new FleetNode(
              EntryVmId.of("vm-" + i),
              Incarnation.of("i-" + i),
              "10.0.0.1",
              7000,
              AvailabilityZoneId.of("zone-" + i % zones),
              RegionId.of("r")));
    }
    return nodes;
  }

  private static int links(List<FleetNode> fleet) {
    return fleet.stream().mapToInt(node -> RelayLinks.targets(node, fleet).size()).sum();
  }

  @Test
  void growInProportionToTheDaemonsOfZone() {
    int small = links(fleet(6, 10));
    int large = links(fleet(6, 50));

    assertThat(large).isAtMost(5 * small);
    assertThat(large / 300.0).isAtMost(16.0);
  }

  @Test
  void ofDaemonThatIsNoRelayAreTwo() {
    List<FleetNode> fleet = fleet(6, 14);
    List<FleetNode> withTwo =
        fleet.stream().filter(node -> RelayLinks.targets(node, fleet).size() == 2).toList();

    assertThat(withTwo).hasSize(6 * 12);
  }

  /** News reach every daemon over links alone, also those of other zones. */
  @Test
  void connectAllDaemons() {
    List<FleetNode> fleet = fleet(3, 5);
    Set<EntryVmId> reached = new HashSet<>();
    List<FleetNode> open = new ArrayList<>(List.of(fleet.get(0)));
    while (!open.isEmpty()) {
      FleetNode node = open.remove(0);
      if (reached.add(node.vm())) {
        for (EntryVmId target : RelayLinks.targets(node, fleet)) {
          fleet.stream().filter(other -> other.vm().equals(target)).forEach(open::add);
        }
      }
    }

    assertThat(reached).hasSize(fleet.size());
  }

  @Test
  void ofSingleDaemonAreNone() {
    List<FleetNode> fleet = fleet(1, 1);

    assertThat(RelayLinks.targets(fleet.get(0), fleet)).isEmpty();
  }
}
