package org.amaranthstream.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Iterables;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.quarantine.Crash;
import org.amaranthstream.quarantine.Fingerprint;
import org.amaranthstream.quarantine.PoisonRegistry;
import org.amaranthstream.routing.RoutingTable;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.time.VirtualTimerService;
import org.amaranthstream.weights.AnnouncedVersions;
import org.junit.jupiter.api.Test;

class FleetHeartbeatStateTest {
  private static final Fingerprint CONTENT = new Fingerprint("0123456789abcdef0123456789abcdef");
  private static final Duration QUARANTINE = Duration.ofMinutes(10);

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final PoisonRegistry near = PoisonRegistry.create(QUARANTINE);
  private final PoisonRegistry far = PoisonRegistry.create(QUARANTINE);

  private FleetHeartbeatState state(PoisonRegistry registry) {
    return FleetHeartbeatState.create(
        RoutingTable.create(),
        AnnouncedVersions.create(),
        ServerDirectory.create(timers),
        registry,
        timers,
        () -> {});
  }

  private static Crash crash(String server) {
    return new Crash(BackendServerId.of(server), Optional.of(Incarnation.of("1")));
  }

  /** Each of two daemons has seen one crash under the content. */
  @Test
  void addsTheCrashesOfPeersToThoseOfThisDaemon() {
    near.onCrash(CONTENT, crash("a"), timers.nowNanos());
    far.onCrash(CONTENT, crash("b"), timers.nowNanos());
    timers.advance(Duration.ofSeconds(1));
    state(near).onPoisonNotice(Iterables.getOnlyElement(state(far).poisonNotices()));

    assertThat(near.remainingQuarantine(CONTENT, timers.nowNanos()).isPresent()).isTrue();
    assertThat(state(near).poisonNotices().get(0).crashes())
        .containsExactly(crash("a"), crash("b"));
  }
}
