package org.amaranthstream.servers;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Loss of all servers of a service, told apart from servers that are slow or crash. */
class ServiceReachTest {
  private static final ServiceId SERVICE = ServerDirectoryTest.SERVICE;
  private static final Duration DETECTION = Duration.ofSeconds(1);

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final ServerDirectory directory = ServerDirectory.create(timers);
  private final ReachMonitor monitor =
      ReachMonitor.create(directory, (server, timeout) -> probe(timeout), timers);
  private boolean doServersRespond = true;
  private int probes;
  private int changes;

  private CompletableFuture<Boolean> probe(Duration timeout) {
    probes++;
    CompletableFuture<Boolean> responds = new CompletableFuture<>();
    timers.after(
        doServersRespond ? Duration.ofMillis(5) : timeout,
        () -> responds.complete(doServersRespond));
    return responds;
  }

  @BeforeEach
  void register() {
    directory.onRegistration(ServerDirectoryTest.registration("s1", 1, false));
    directory.onRegistration(ServerDirectoryTest.registration("s2", 1, false));
    monitor.addListener(() -> changes++);
  }

  private TrackedServer server(int index) {
    return directory.all().get(index);
  }

  private void failAllRequests() {
    doServersRespond = false;
    for (int i = 0; i < 4; i++) {
      server(i % 2).onRequestSent();
      timers.advance(Duration.ofMillis(50));
      server(i % 2).onRequestEnded();
    }
  }

  @Test
  void serviceIsLostIfNoServerRespondsAndProbesFail() {
    failAllRequests();
    timers.advance(DETECTION);

    assertThat(monitor.isLost(SERVICE)).isTrue();
    assertThat(changes).isEqualTo(1);
  }

  @Test
  void serviceIsLostIfOpenStreamsFallSilent() {
    server(0).onRequestSent();
    for (int i = 0; i < 20; i++) {
      timers.advance(Duration.ofMillis(25));
      server(0).onProgress();
    }
    doServersRespond = false;
    timers.advance(DETECTION);

    assertThat(monitor.isLost(SERVICE)).isTrue();
  }

  @Test
  void serviceIsLostIfNewConnectionsFailWhileOpenOnesWork() {
    doServersRespond = false;
    server(0).onRequestSent();
    for (int i = 0; i < 40; i++) {
      server(1).onRequestSent();
      server(1).onRequestEnded();
      server(1).onFailed(timers.nowNanos(), "connection refused");
      timers.advance(Duration.ofMillis(25));
      server(0).onProgress();
    }

    assertThat(monitor.isLost(SERVICE)).isTrue();
  }

  @Test
  void slowServersThatRespondToProbesAreNotLost() {
    server(0).onRequestSent();
    timers.advance(Duration.ofSeconds(10));

    assertThat(monitor.isLost(SERVICE)).isFalse();
    assertThat(changes).isEqualTo(0);
  }

  @Test
  void serviceIsNotLostIfOneServerFailsAndAnotherCanBeConnectedTo() {
    for (int i = 0; i < 40; i++) {
      server(0).onRequestSent();
      server(1).onRequestSent();
      timers.advance(Duration.ofMillis(50));
      server(0).onRequestEnded();
      server(0).onFailed(timers.nowNanos(), "connection refused");
      server(1).onResponse();
      server(1).onRequestEnded();
    }

    assertThat(monitor.isLost(SERVICE)).isFalse();
  }

  @Test
  void lostServiceIsReachedAgainOnceProbeSucceeds() {
    failAllRequests();
    timers.advance(DETECTION);
    doServersRespond = true;
    timers.advance(Duration.ofMillis(1_300));

    assertThat(monitor.isLost(SERVICE)).isFalse();
    assertThat(changes).isEqualTo(2);
  }

  @Test
  void probesBecomeRareWhileTheLossLasts() {
    failAllRequests();
    timers.advance(Duration.ofSeconds(60));

    assertThat(probes).isAtMost(120);
  }

  @Test
  void serviceWithoutServersIsNotLost() {
    failAllRequests();
    directory.onRegistrationRemoved(BackendServerId.of("s1"));
    directory.onRegistrationRemoved(BackendServerId.of("s2"));
    timers.advance(DETECTION);

    assertThat(monitor.isLost(SERVICE)).isFalse();
  }

  @Test
  void idleServiceIsNotProbed() {
    server(0).onRequestSent();
    server(0).onResponse();
    server(0).onRequestEnded();
    timers.advance(Duration.ofSeconds(60));

    assertThat(probes).isEqualTo(0);
  }
}
