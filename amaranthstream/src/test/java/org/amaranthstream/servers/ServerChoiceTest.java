package org.amaranthstream.servers;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.SoftwareVersion;
import org.junit.jupiter.api.Test;

class ServerChoiceTest {
  private static final int SLOTS = 4;
  private final ServerChoice choice =
      ServerChoice.in(
          AvailabilityZoneId.of("r1-a"),
          zone -> Optional.of(RegionId.of(zone.value().substring(0, 2))));

  private static TrackedServer server(String zone, int inFlight) {
    TrackedServer server =
        new TrackedServer(
            new ServerRegistration(
                BackendServerId.of("s-" + zone + "-" + inFlight),
                1,
                ServiceId.of("portal"),
                SoftwareVersion.of("v1"),
                "10.0.0.9",
                8080,
                AvailabilityZoneId.of(zone),
                SLOTS,
                false,
                ImmutableMap.of()));
    for (int i = 0; i < inFlight; i++) {
      server.onRequestSent();
    }
    return server;
  }

  private TrackedServer choose(TrackedServer... servers) {
    return choice.choose(List.of(servers), server -> true, 0).get();
  }

  @Test
  void prefersLocalZone() {
    TrackedServer local = server("r1-a", 0);

    assertThat(choose(server("r2-a", 0), server("r1-b", 0), local)).isSameInstanceAs(local);
  }

  @Test
  void choosesOtherZoneWhenLocalZoneIsFull() {
    TrackedServer next = server("r1-b", 0);

    assertThat(choose(server("r1-a", SLOTS), next, server("r2-a", 0))).isSameInstanceAs(next);
  }

  @Test
  void choosesFailedServerLast() {
    TrackedServer failed = server("r1-a", 0);
    failed.onFailed(0, "reset");
    TrackedServer remote = server("r2-a", SLOTS);

    assertThat(choose(failed, remote)).isSameInstanceAs(remote);
  }

  @Test
  void returnsEmptyIfNoServerIsAllowed() {
    assertThat(choice.choose(List.of(server("r1-a", 0)), server -> false, 0)).isEmpty();
  }
}
