package org.amaranthstream.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.platform.SimulatedStore;
import org.amaranthstream.platform.SimulatedStoreClient;
import org.amaranthstream.platform.SimulatedStoreClient.WriteFault;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.Test;

/** Registrations whose writes are executed late or replace each other. */
class FleetSessionTest {
  private static final EntryVmId VM = EntryVmId.of("vm-1");

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final SimulatedStore kv = new SimulatedStore(timers);
  private final SimulatedStoreClient client = kv.client();

  private FleetSession start(String incarnation) {
    FleetNode node =
        new FleetNode(
            VM,
            Incarnation.of(incarnation),
            "10.0.0.1",
            7000,
            AvailabilityZoneId.of("a"),
            RegionId.of("r"));
    FleetSession session =
        FleetSession.create(
            client, timers, () -> Instant.ofEpochMilli(timers.nowNanos() / 1_000_000), node);
    session.start(() -> {});
    return session;
  }

  private Optional<Incarnation> registered() {
    return kv.entry(FleetKeys.node(VM))
        .flatMap(entry -> FleetNode.decode(entry.value()))
        .map(FleetNode::incarnation);
  }

  /** Guards against a registration that ends with the lease of an earlier, late attempt. */
  @Test
  void staysWhileTheSessionHasValidLease() {
    client.setWriteFault(WriteFault.APPLIED_LATE, Duration.ofSeconds(2));
    FleetSession session = start("i1");
    timers.advance(Duration.ofMillis(100));
    client.setWriteFault(WriteFault.NONE, Duration.ZERO);
    for (int millis = 0; millis < 8_000; millis += 50) {
      timers.advance(Duration.ofMillis(50));
      assertWithMessage("registered while the lease is valid")
          .that(session.validLease().isEmpty() || registered().isPresent())
          .isTrue();
    }

    assertThat(session.validLease()).isPresent();
  }

  @Test
  void replacesThatOfTheEarlierIncarnation() {
    final FleetSession earlier = start("i1");
    timers.advance(Duration.ofSeconds(1));
    FleetSession session = start("i2");
    timers.advance(Duration.ofMillis(100));

    assertThat(registered()).hasValue(Incarnation.of("i2"));
    assertThat(session.validLease()).isPresent();
    assertThat(earlier.lease()).isNotEqualTo(session.lease());
  }

  @Test
  void followsAnAttemptWhoseAnswerWasLost() {
    client.setWriteFault(WriteFault.ANSWER_LOST, Duration.ZERO);
    final FleetSession session = start("i1");
    timers.advance(Duration.ofMillis(100));
    client.setWriteFault(WriteFault.NONE, Duration.ZERO);
    timers.advance(Duration.ofSeconds(2));

    assertThat(session.validLease()).isPresent();
    timers.advance(Duration.ofSeconds(4));
    assertThat(registered()).hasValue(Incarnation.of("i1"));
  }
}
