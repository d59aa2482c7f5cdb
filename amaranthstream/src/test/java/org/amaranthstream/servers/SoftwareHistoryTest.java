package org.amaranthstream.servers;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.SoftwareVersion;
import org.junit.jupiter.api.Test;

class SoftwareHistoryTest {
  private static final ServiceId SERVICE = ServiceId.of("service");
  private static final Duration PERIOD = Duration.ofSeconds(10);

  private final SoftwareHistory history = new SoftwareHistory(0);

  private void see(String version, long second) {
    history.onSeen(
        new ServerRegistration(
            BackendServerId.of("server"),
            1L,
            SERVICE,
            SoftwareVersion.of(version),
            "10.0.0.1",
            8000,
            AvailabilityZoneId.of("a"),
            4,
            false,
            ImmutableMap.of()),
        Duration.ofSeconds(second).toNanos());
  }

  private Optional<SoftwareVersion> onlyVersionAt(long second) {
    return history.onlyVersion(SERVICE, PERIOD, Duration.ofSeconds(second).toNanos());
  }

  /** A daemon that nobody asks for a stream's software must not collect all versions. */
  @Test
  void doesNotGrowWithTheVersions() {
    for (int i = 0; i < 1_000; i++) {
      see("v" + i, i);
    }

    assertThat(history.versionCount(SERVICE)).isAtMost(16);
    assertThat(onlyVersionAt(1_000)).isEmpty();
  }

  @Test
  void namesTheOnlyVersionOfThePeriod() {
    see("v1", 1);
    see("v2", 20);

    assertThat(onlyVersionAt(21)).isEqualTo(Optional.of(SoftwareVersion.of("v2")));
  }
}
