package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A scheduler that polls while many items wait and each server names a limit. */
class ItemPermitsTest {
  private final VirtualTimerService timers = VirtualTimerService.create();
  private final List<Consumer<Boolean>> calls = new ArrayList<>();
  private int granted;
  private final ItemPermits permits =
      new ItemPermits((server, patience, listener) -> calls.add(listener), timers, () -> granted++);
  private TrackedServer server;

  @BeforeEach
  void createServer() {
    ServerDirectory directory = ServerDirectory.create(timers);
    directory.onRegistration(SimulatedServers.registration("server", 4, 1));
    server = directory.all().get(0);
    server.onLimit(OptionalDouble.of(1));
  }

  private boolean mayStart() {
    return permits.mayStart(server);
  }

  @Test
  void allowOneRunForEachPermit() {
    assertThat(mayStart()).isFalse();
    permits.request(server);
    calls.get(0).accept(true);
    assertThat(granted).isEqualTo(1);
    assertThat(mayStart()).isTrue();
    permits.onStarted(server);
    assertThat(mayStart()).isFalse();
  }

  @Test
  void areNotNeededOnceTheServerNamesNoLimit() {
    server.onLimit(OptionalDouble.empty());
    assertThat(mayStart()).isTrue();
  }

  @Test
  void areRequestedOneByOne() {
    permits.request(server);
    permits.request(server);
    assertThat(calls).hasSize(1);
  }

  @Test
  void areRequestedLessOftenAfterDenial() {
    permits.request(server);
    calls.get(0).accept(false);
    permits.request(server);
    assertThat(calls).hasSize(1);
    timers.advance(Duration.ofSeconds(1));
    permits.request(server);
    assertThat(calls).hasSize(2);
  }

  /** Unused permits must not add up to a burst. */
  @Test
  void expire() {
    permits.request(server);
    calls.get(0).accept(true);
    timers.advance(Duration.ofSeconds(2));
    assertThat(mayStart()).isFalse();
  }
}
