package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.amaranthstream.fleet.FleetNode;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RegionId;
import org.junit.jupiter.api.Test;

/** Zones in which most VMs have a fraction of the processor time of the others. */
class PreferredOwnerStrengthTest {
  private static final int TRAINERS = 200;

  private static FleetNode node(String vm, OptionalDouble cores) {
    return new FleetNode(
        EntryVmId.of(vm),
        Incarnation.of("i"),
        "10.0.0.1",
        7000,
        AvailabilityZoneId.of("a"),
        RegionId.of("r"),
        cores);
  }

  private static Set<String> owners(List<FleetNode> zone) {
    FleetNode self = node("arrival", OptionalDouble.of(0.25));
    Set<String> owners = new HashSet<>();
    for (int i = 0; i < TRAINERS; i++) {
      JobSpec job = SampleJobs.job("trainer-" + i, 1, 10, 10);
      JobSpec other =
          new JobSpec(
              job.id(),
              "host-" + i,
              job.path(),
              job.step(),
              job.model(),
              job.minVersion(),
              job.wantedGroups(),
              job.items());
      Optional<EntryVmId> owner = PreferredJobOwner.of(other, self, zone);
      owner.ifPresent(vm -> owners.add(vm.value()));
    }
    return owners;
  }

  @Test
  void weakVmsOwnNoJobsOfTrainers() {
    List<FleetNode> zone = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      zone.add(node("weak-" + i, OptionalDouble.of(0.25)));
    }
    zone.add(node("strong-1", OptionalDouble.of(1.5)));
    zone.add(node("strong-2", OptionalDouble.of(0.9)));

    assertThat(owners(zone)).containsExactly("strong-1", "strong-2");
  }

  @Test
  void allVmsMayOwnJobsWhereTheirStrengthIsUnknown() {
    List<FleetNode> zone = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      zone.add(node("vm-" + i, OptionalDouble.empty()));
    }

    assertWithMessage("owners").that(owners(zone)).hasSize(8);
  }
}
