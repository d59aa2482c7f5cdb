package org.amaranthstream.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RegionId;
import org.junit.jupiter.api.Test;

class RelayPeersTest {
  private final RelayPeers peers =
      new RelayPeers(
          new FleetNode(
              EntryVmId.of("self"),
              Incarnation.of("i"),
              "10.0.0.1",
              7000,
              AvailabilityZoneId.of("a"),
              RegionId.of("r")));

  /** VMs that are replaced for good must not be recorded for ever. */
  @Test
  void dropPeersWhoseAvoidanceHasEnded() {
    for (int i = 0; i < 100; i++) {
      peers.onFailed(EntryVmId.of("vm-" + i), Duration.ofSeconds(10L * i).toNanos());
    }

    assertThat(peers.avoidedCount()).isEqualTo(1);
  }
}
