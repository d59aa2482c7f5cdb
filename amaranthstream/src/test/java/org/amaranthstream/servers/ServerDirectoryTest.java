package org.amaranthstream.servers;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ServerDirectoryTest {
  static final ServiceId SERVICE = ServiceId.of("portal");
  private static final int PORT = 8080;

  private final VirtualTimerService timers = VirtualTimerService.create();
  private boolean wasStoreUnavailable;
  private final ServerDirectory directory =
      ServerDirectory.create(
          timers, () -> wasStoreUnavailable ? Duration.ofMillis(2_200) : Duration.ZERO);

  static ServerRegistration registration(String id, long startMillis, boolean isDraining) {
    return new ServerRegistration(
        BackendServerId.of(id),
        startMillis,
        SERVICE,
        SoftwareVersion.of("v1"),
        "10.0.0.9",
        PORT,
        AvailabilityZoneId.of("a"),
        4,
        isDraining,
        ImmutableMap.of());
  }

  private int availableCount() {
    return directory.available(SERVICE).size();
  }

  @Nested
  class Draining {
    @Test
    void drainingServerIsNotAvailable() {
      directory.onRegistration(registration("s", 1, false));
      directory.onRegistration(registration("s", 1, true));

      assertThat(availableCount()).isEqualTo(0);
    }

    @Test
    void drainingServerStaysDraining() {
      directory.onRegistration(registration("s", 1, true));
      directory.onRegistration(registration("s", 1, false));

      assertThat(availableCount()).isEqualTo(0);
    }

    @Test
    void nextIncarnationWithSameIdIsAvailable() {
      directory.onRegistration(registration("s", 1, true));
      directory.onRegistration(registration("s", 2, false));

      assertThat(availableCount()).isEqualTo(1);
    }

    @Test
    void earlierIncarnationIsNotAvailable() {
      directory.onRegistration(registration("s", 1, false));
      TrackedServer first = directory.available(SERVICE).get(0);
      directory.onRegistration(registration("s", 2, false));

      assertThat(first.isAvailable()).isFalse();
    }
  }

  @Nested
  class LeavingServers {
    private final ServerRegistration registration = registration("s", 1, false);

    private TrackedServer announceLeaving() {
      directory.onRegistration(registration);
      TrackedServer server = directory.available(SERVICE).get(0);
      directory.onLeavingAnnounced(server);
      return server;
    }

    @Test
    void areNotAvailableOnceTheyAnnounceIt() {
      assertThat(announceLeaving().isAvailable()).isFalse();
      assertThat(availableCount()).isEqualTo(0);
    }

    @Test
    void areNotAvailableAgainThroughAnOlderRegistration() {
      announceLeaving();
      directory.onRegistration(registration);

      assertThat(availableCount()).isEqualTo(0);
    }

    /** The registration expires while the store is away, and is written again afterwards. */
    @Test
    void areNotAvailableAgainAfterTheirRegistrationWasRemoved() {
      announceLeaving();
      directory.onRegistrationRemoved(registration.id());
      directory.onRegistration(registration);

      assertThat(availableCount()).isEqualTo(0);
    }

    @Test
    void thatDrainedAreNotAvailableAgainAfterTheirRegistrationWasRemoved() {
      directory.onRegistration(registration("s", 1, true));
      directory.onRegistrationRemoved(registration.id());
      directory.onRegistration(registration);

      assertThat(availableCount()).isEqualTo(0);
    }

    @Test
    void areAvailableAgainAsNewIncarnation() {
      announceLeaving();
      directory.onRegistration(registration("s", 2, false));

      assertThat(availableCount()).isEqualTo(1);
    }

    @Test
    void areNotAvailableIfPeerReportsIt() {
      directory.onRegistration(registration);
      directory.onLeavingReported(registration.id(), 1);

      assertThat(availableCount()).isEqualTo(0);
    }

    @Test
    void areNotAvailableIfPeerReportedItBeforeTheirRegistrationWasRead() {
      directory.onLeavingReported(registration.id(), 1);
      directory.onRegistration(registration);

      assertThat(availableCount()).isEqualTo(0);
    }

    @Test
    void ofAnEarlierIncarnationDoNotAffectTheCurrentOne() {
      directory.onRegistration(registration("s", 2, false));
      directory.onLeavingReported(registration.id(), 1);

      assertThat(availableCount()).isEqualTo(1);
    }

    /** A peer's report is late, and its registration expired and came back in between. */
    @Test
    void areNotAvailableAgainAfterReportOfEarlierIncarnation() {
      directory.onRegistration(registration("s", 2, true));
      directory.onLeavingReported(registration.id(), 1);
      directory.onRegistrationRemoved(registration.id());
      directory.onRegistration(registration("s", 2, false));

      assertThat(availableCount()).isEqualTo(0);
    }

    @Test
    void areAnnouncedToListenersOnce() {
      List<BackendServerId> announced = new ArrayList<>();
      directory.addLeavingListener(server -> announced.add(server.id()));
      TrackedServer server = announceLeaving();
      directory.onLeavingAnnounced(server);

      assertThat(announced).containsExactly(registration.id());
    }
  }

  @Nested
  class RemovedRegistrations {
    @Test
    void serverIsRemovedAtOnce() {
      directory.onRegistration(registration("s", 1, false));
      directory.onRegistrationRemoved(BackendServerId.of("s"));

      assertThat(availableCount()).isEqualTo(0);
    }

    @Test
    void serverStaysForGracePeriodIfStoreWasUnavailable() {
      directory.onRegistration(registration("s", 1, false));
      wasStoreUnavailable = true;
      directory.onRegistrationRemoved(BackendServerId.of("s"));
      timers.advance(Duration.ofSeconds(2));
      assertThat(availableCount()).isEqualTo(1);

      timers.advance(Duration.ofMillis(500));
      assertThat(availableCount()).isEqualTo(0);
    }

    @Test
    void serverThatRegistersAgainWithinGracePeriodStays() {
      directory.onRegistration(registration("s", 1, false));
      wasStoreUnavailable = true;
      directory.onRegistrationRemoved(BackendServerId.of("s"));
      timers.advance(Duration.ofSeconds(1));
      directory.onRegistration(registration("s", 1, false));
      timers.advance(Duration.ofSeconds(10));

      assertThat(availableCount()).isEqualTo(1);
    }

    @Test
    void incarnationReplacedAtItsAddressIsRemoved() {
      directory.onRegistration(registration("s", 1, false));
      directory.onIncarnationReplaced(directory.available(SERVICE).get(0));

      assertThat(availableCount()).isEqualTo(0);
    }
  }
}
