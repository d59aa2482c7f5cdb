package org.amaranthstream.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.peer.QueryKind;
import org.amaranthstream.platform.SimulatedStore;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.ServerRegistration;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Daemons that all send more requests to one server than it takes from them together. */
class FleetPermitsTest {
  private static final Duration WINDOW = Duration.ofSeconds(4);
  private static final Duration PATIENCE = Duration.ofSeconds(1);
  private static final Duration RETRY_DELAY = Duration.ofMillis(50);
  private static final int DAEMONS = 6;

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final SimulatedStore store = new SimulatedStore(timers);
  private final Map<EntryVmId, FleetPermits> daemons = new LinkedHashMap<>();
  private final List<Long> sentNanos = new ArrayList<>();
  private final TrackedServer server = limitedServer();
  private boolean arePeersReachable = true;

  private TrackedServer limitedServer() {
    ServerDirectory directory = ServerDirectory.create(timers);
    directory.onRegistration(
        new ServerRegistration(
            BackendServerId.of("server"),
            1,
            ServiceId.of("engine"),
            SoftwareVersion.of("v1"),
            "10.0.0.9",
            8080,
            AvailabilityZoneId.of("a"),
            12,
            false,
            ImmutableMap.of()));
    return directory.all().get(0);
  }

  private void start(double requestsPerSecond) {
    server.onLimit(OptionalDouble.of(requestsPerSecond));
    for (int i = 0; i < DAEMONS; i++) {
      FleetTestNode node = new FleetTestNode("vm" + i, "run" + i, store, timers, timers);
      node.start();
      EntryVmId vm = EntryVmId.of("vm" + i);
      daemons.put(vm, FleetPermits.create(vm, node.fleet(), timers, this::query));
    }
    timers.advance(Duration.ofSeconds(5));
  }

  private CompletableFuture<Result<byte[]>> query(
      EntryVmId to, QueryKind kind, byte[] body, Duration timeout) {
    CompletableFuture<Result<byte[]>> answer = new CompletableFuture<>();
    if (arePeersReachable) {
      timers.after(
          Duration.ofMillis(1), () -> daemons.get(to).handle(body).thenAccept(answer::complete));
    } else {
      timers.after(
          timeout,
          () -> answer.complete(Result.failure(ResultCode.OUTCOME_UNKNOWN_DEADLINE, "cut")));
    }
    return answer;
  }

  /** Sends as many requests as the daemon gets permits for. */
  private void sendAll(FleetPermits daemon) {
    daemon.acquire(
        server,
        PATIENCE,
        isGranted -> {
          if (isGranted) {
            sentNanos.add(timers.nowNanos());
          }
          timers.after(RETRY_DELAY, () -> sendAll(daemon));
        });
  }

  private long maxInWindow() {
    return sentNanos.stream()
        .mapToLong(
            start ->
                sentNanos.stream()
                    .filter(at -> at >= start && at < start + WINDOW.toNanos())
                    .count())
        .max()
        .orElse(0);
  }

  private static long allowed(double perSecond) {
    return (long) (1.5 * perSecond * WINDOW.toSeconds()) + 5;
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.5, 1, 7})
  void keepAllDaemonsTogetherWithinTheLimit(double limit) {
    start(limit);
    daemons.values().forEach(this::sendAll);
    timers.advance(Duration.ofSeconds(20));

    assertThat(maxInWindow()).isAtMost(allowed(limit));
    assertThat(sentNanos.size()).isAtLeast((int) (0.8 * limit * 20));
  }

  /** A daemon without requests takes no share of the limit. */
  @Test
  void giveTheWholeLimitToTheOnlyDaemonThatUsesIt() {
    start(2);
    sendAll(daemons.get(EntryVmId.of("vm3")));
    timers.advance(Duration.ofSeconds(20));

    assertThat(sentNanos.size()).isAtLeast(30);
  }

  @Test
  void keepTheLimitWhileNoPeerIsReachable() {
    start(2);
    arePeersReachable = false;
    daemons.values().forEach(this::sendAll);
    timers.advance(Duration.ofSeconds(40));

    assertThat(maxInWindow()).isAtMost(allowed(2));
    assertThat(sentNanos).isNotEmpty();
  }
}
