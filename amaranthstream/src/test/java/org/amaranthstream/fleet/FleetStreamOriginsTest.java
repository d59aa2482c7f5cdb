package org.amaranthstream.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.calls.StreamOrigin;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.peer.QueryKind;
import org.amaranthstream.platform.SimulatedStore;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A daemon that begins a stream may be killed before its caller resumes the stream elsewhere. */
class FleetStreamOriginsTest {
  private static final Duration TIMEOUT = Duration.ofMillis(600);
  private static final StreamOrigin ORIGIN =
      new StreamOrigin(ServiceId.of("engine"), SoftwareVersion.of("v1"));

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final SimulatedStore store = new SimulatedStore(timers);
  private final Map<EntryVmId, FleetNode> nodes = new LinkedHashMap<>();
  private final Map<EntryVmId, FleetStreamOrigins> daemons = new LinkedHashMap<>();
  private final Set<EntryVmId> killed = new HashSet<>();
  private int messages;

  private void start(int zones, int daemonsPerZone) {
    for (int i = 0; i < zones * daemonsPerZone; i++) {
      EntryVmId vm = EntryVmId.of("vm" + i);
      AvailabilityZoneId zone = AvailabilityZoneId.of("zone" + i % zones);
      FleetNode self =
          new FleetNode(
              vm, Incarnation.of("run" + i), "10.0.0.1", 7000, zone, RegionId.of("region"));
      Fleet fleet = Fleet.create(store.client(), timers);
      FleetSession session =
          FleetSession.create(store.client(), timers, java.time.InstantSource.system(), self);
      fleet.addListener(session);
      fleet.start();
      session.start(() -> {});
      nodes.put(vm, self);
      daemons.put(vm, FleetStreamOrigins.create(self, fleet, timers, this::query));
    }
    timers.advance(Duration.ofSeconds(5));
  }

  private CompletableFuture<Result<byte[]>> query(
      EntryVmId to, QueryKind kind, byte[] body, Duration timeout) {
    messages++;
    CompletableFuture<Result<byte[]>> answer = new CompletableFuture<>();
    if (killed.contains(to)) {
      timers.after(
          timeout,
          () -> answer.complete(Result.failure(ResultCode.PEER_UNREACHABLE, "the peer is gone")));
      return answer;
    }
    FleetStreamOrigins peer = daemons.get(to);
    timers.after(
        Duration.ofMillis(1),
        () ->
            (kind == QueryKind.STREAM_RECORD ? peer.store(body) : peer.lookUp(body))
                .thenAccept(answer::complete));
    return answer;
  }

  private EntryVmId any(String zone) {
    return nodes.values().stream()
        .filter(node -> node.zone().value().equals(zone) && !killed.contains(node.vm()))
        .map(FleetNode::vm)
        .findFirst()
        .get();
  }

  private void kill(EntryVmId vm) {
    killed.add(vm);
  }

  private Optional<StreamOrigin> find(EntryVmId vm) {
    CompletableFuture<Optional<StreamOrigin>> found = daemons.get(vm).find("s", TIMEOUT);
    timers.advance(TIMEOUT);
    assertThat(found.isDone()).isTrue();
    return found.join();
  }

  /** Records a stream at a daemon, which is killed right after its batch is sent. */
  private void recordAndKill(EntryVmId vm) {
    daemons.get(vm).record("s", ORIGIN);
    timers.advance(Duration.ofMillis(15));
    kill(vm);
  }

  @Nested
  class AfterTheDaemonIsGone {
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 12})
    void originIsFoundInTheSameZoneAndInOthers(int daemonsPerZone) {
      start(3, daemonsPerZone);
      recordAndKill(any("zone0"));

      for (EntryVmId vm : daemons.keySet()) {
        if (!killed.contains(vm)) {
          assertThat(find(vm)).isEqualTo(Optional.of(ORIGIN));
        }
      }
    }

    @Test
    void originIsFoundAfterTheLossOfTheWholeZone() {
      start(3, 4);
      recordAndKill(any("zone0"));
      nodes.values().stream()
          .filter(node -> node.zone().value().equals("zone0"))
          .forEach(node -> kill(node.vm()));

      assertThat(find(any("zone1"))).isEqualTo(Optional.of(ORIGIN));
      assertThat(find(any("zone2"))).isEqualTo(Optional.of(ORIGIN));
    }

    @Test
    void originIsReplicatedElsewhereIfReplicasAreUnreachable() {
      start(3, 4);
      EntryVmId vm = any("zone0");
      WatchRelaySelection.relays(nodes.get(vm).zone(), nodes.values()).stream()
          .filter(relay -> !relay.equals(vm))
          .forEach(FleetStreamOriginsTest.this::kill);
      daemons.get(vm).record("s", ORIGIN);
      timers.advance(Duration.ofSeconds(3));
      kill(vm);

      assertThat(find(any("zone2"))).isEqualTo(Optional.of(ORIGIN));
    }
  }

  @Test
  void unknownStreamIsReportedAsUnknown() {
    start(3, 2);

    assertThat(find(any("zone1"))).isEqualTo(Optional.empty());
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 10, 30})
  void messagesForStreamsDoNotGrowWithTheFleet(int daemonsPerZone) {
    start(3, daemonsPerZone);
    FleetStreamOrigins daemon = daemons.get(any("zone0"));
    messages = 0;
    for (int i = 0; i < 100; i++) {
      daemon.record("s" + i, ORIGIN);
    }
    timers.advance(Duration.ofSeconds(1));

    assertThat(messages).isEqualTo(3);
  }

  @Test
  void malformedMessagesAreRejected() {
    start(1, 1);
    byte[] malformed = {(byte) 0xff};
    FleetStreamOrigins daemon = daemons.get(any("zone0"));

    assertThat(daemon.store(malformed).join()).isInstanceOf(Result.Failure.class);
    assertThat(daemon.lookUp(malformed).join()).isInstanceOf(Result.Failure.class);
  }
}
