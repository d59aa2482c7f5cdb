package org.amaranthstream.calls;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.RouteId;
import org.amaranthstream.quarantine.PoisonRegistry;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.routing.Route;
import org.amaranthstream.routing.RouteKind;
import org.amaranthstream.routing.WeightedService;
import org.amaranthstream.servers.ServerChoice;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Requests that crash each server that runs them, sent again and again at several daemons beside
 * sound requests. Replays the load of an incident with three servers of one service.
 */
class CrashingContentTest {
  private static final int DAEMONS = 3;
  private static final Duration QUARANTINE = Duration.ofMinutes(10);
  private static final Duration TIMEOUT = Duration.ofMillis(2_500);
  private static final Duration PEER_DELAY = Duration.ofMillis(100);

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final List<ServerDirectory> directories = new ArrayList<>();
  private final List<PoisonRegistry> registries = new ArrayList<>();
  private final List<CallService> daemons = new ArrayList<>();
  private final CrashingServers servers = new CrashingServers(timers, directories);

  @BeforeEach
  void start() {
    for (int i = 0; i < DAEMONS; i++) {
      ServerDirectory directory = ServerDirectory.create(timers);
      PoisonRegistry registry = PoisonRegistry.create(QUARANTINE);
      directories.add(directory);
      registries.add(registry);
      daemons.add(
          CallService.builder()
              .servers(
                  directory,
                  ServerChoice.in(AvailabilityZoneId.of("a"), unused -> Optional.empty()))
              .transport(servers)
              .timers(timers)
              .poison(registry)
              .permits((server, patience, listener) -> listener.accept(true))
              .build());
      registry.addListener(() -> timers.after(PEER_DELAY, () -> announce(registry)));
    }
    servers.start("s1");
    servers.start("s2");
    servers.start("s3");
  }

  private void announce(PoisonRegistry from) {
    for (PoisonRegistry to : registries) {
      if (to != from) {
        from.export(timers.nowNanos()).forEach(notice -> to.merge(notice, timers.nowNanos()));
      }
    }
  }

  private static Route route(RouteKind kind) {
    return Route.builder()
        .id(RouteId.of("lookup"))
        .match("h", "/lookup/")
        .kind(kind)
        .timeout(TIMEOUT)
        .latencyObjective(Duration.ofMillis(186))
        .maxAttempts(3)
        .services(ImmutableList.of(new WeightedService(CrashingServers.SERVICE, 1)))
        .build();
  }

  private RecordingExchange send(int daemon, RouteKind kind, String id, String body) {
    return send(daemon, CallPolicy.of(route(kind)), kind, id, body);
  }

  private RecordingExchange send(
      int daemon, CallPolicy policy, RouteKind kind, String id, String body) {
    RecordingExchange exchange = new RecordingExchange();
    OutboundCall call =
        new OutboundCall(
            id,
            "POST",
            "/lookup/x",
            MultiMap.caseInsensitiveMultiMap(),
            Buffer.buffer(body),
            Optional.empty(),
            Optional.empty());
    daemons.get(daemon % DAEMONS).start(route(kind), policy, call, TIMEOUT, exchange);
    return exchange;
  }

  private RecordingExchange send(int daemon, String id, String body) {
    return send(daemon, RouteKind.IDEMPOTENT, id, body);
  }

  @Nested
  class Quarantine {
    /** Two crashes identify the content, so one server is left for the other requests. */
    @Test
    void leavesServersForSoundRequests() {
      for (int i = 0; i < 20; i++) {
        send(i, "crash" + i, CrashingServers.CRASHING_BODY);
        timers.advance(Duration.ofMillis(300));
        RecordingExchange sound = send(i, "sound" + i, "sound" + i);
        timers.advance(Duration.ofMillis(700));
        assertThat(sound.status()).isEqualTo(200);
      }

      assertThat(servers.crashes()).isEqualTo(2);
    }

    /** Each daemon sees one crash only, because such requests are sent once. */
    @Test
    void addsUpTheCrashesOfAllDaemons() {
      for (int i = 0; i < 20; i++) {
        send(i, RouteKind.NON_IDEMPOTENT, "crash" + i, CrashingServers.CRASHING_BODY);
        timers.advance(Duration.ofSeconds(1));
      }

      assertThat(servers.crashes()).isEqualTo(2);
    }

    /** The new incarnations respond to sound requests before the daemon knows them. */
    @Test
    void survivesResponsesOfRestartedServers() {
      servers.setKeepsIds(true);
      for (int i = 0; i < 20; i++) {
        send(0, "crash" + i, CrashingServers.CRASHING_BODY);
        timers.advance(Duration.ofMillis(1_900));
        for (int j = 0; j < 9; j++) {
          send(0, "sound" + i + "-" + j, "sound" + i + "-" + j);
        }
        timers.advance(Duration.ofMillis(100));
      }

      assertThat(servers.crashes()).isAtMost(3);
    }

    @Test
    void rejectsAtOnceWithTheTimeThatRemains() {
      send(0, "first", CrashingServers.CRASHING_BODY);
      timers.advance(Duration.ofSeconds(5));
      RecordingExchange again = send(0, "again", CrashingServers.CRASHING_BODY);

      assertThat(again.errorCode()).isEqualTo(Optional.of(ResultCode.NOT_RUN_QUARANTINED));
      assertThat(again.retryAfter().orElseThrow()).isGreaterThan(QUARANTINE.dividedBy(2));
      assertThat(servers.runsOf("again")).isEqualTo(0);
    }

    /** The first sender must not be told that its request did not run. */
    @Test
    void isNoTrueRejectionForTheRequestThatCrashedServers() {
      RecordingExchange first = send(0, "first", CrashingServers.CRASHING_BODY);
      timers.advance(Duration.ofSeconds(5));

      assertThat(first.errorCode()).isEqualTo(Optional.of(ResultCode.OUTCOME_UNKNOWN_BACKEND_LOST));
    }

    @Test
    void expires() {
      send(0, "first", CrashingServers.CRASHING_BODY);
      timers.advance(QUARANTINE.plusSeconds(1));
      send(0, "later", CrashingServers.CRASHING_BODY);
      timers.advance(Duration.ofSeconds(5));

      assertThat(servers.runsOf("later")).isEqualTo(2);
    }
  }

  @Nested
  class SoundContent {
    /** Requests that ran beside the crashing one are suspect, and are kept apart from it. */
    @Test
    void isServedAlthoughItsServerCrashed() {
      List<RecordingExchange> sound = new ArrayList<>();
      send(0, "crash", CrashingServers.CRASHING_BODY);
      timers.advance(Duration.ofMillis(80));
      for (int i = 0; i < 3; i++) {
        sound.add(send(0, "sound" + i, "sound" + i));
      }
      timers.advance(Duration.ofSeconds(2));

      sound.forEach(exchange -> assertThat(exchange.status()).isEqualTo(200));
    }

    /** Popular content is in flight at many crashes, at one daemon after the other. */
    @Test
    void isServedByAllDaemonsIfItCompletesBetweenCrashes() {
      for (int i = 0; i < 12; i++) {
        send(i, RouteKind.NON_IDEMPOTENT, "popular" + i, "popular");
        timers.advance(Duration.ofMillis(20));
        servers.crashServersOf("popular" + i);
        timers.advance(Duration.ofSeconds(5));
        RecordingExchange again = send(i, "again" + i, "popular");
        timers.advance(Duration.ofSeconds(5));
        assertThat(again.status()).isEqualTo(200);
      }
    }

    /** Connections that are reset are not crashes, as the same incarnation goes on responding. */
    @Test
    void isSentAgainAfterItsConnectionsWereReset() {
      servers.setResetsConnections(true);
      send(0, "first", "sound");
      timers.advance(Duration.ofSeconds(5));
      servers.setResetsConnections(false);
      for (int i = 0; i < 4; i++) {
        send(0, "other" + i, "other" + i);
        send(0, "more" + i, "more" + i);
        send(0, "third" + i, "third" + i);
        timers.advance(Duration.ofSeconds(1));
      }
      RecordingExchange again = send(0, "again", "sound");
      timers.advance(Duration.ofSeconds(1));

      assertThat(again.status()).isEqualTo(200);
    }
  }

  @Nested
  class OwedCalls {
    /** The reward call of an item is owed a response, whatever it did to servers. */
    @Test
    void areNeverQuarantined() {
      for (int i = 0; i < 4; i++) {
        send(
            0,
            CallPolicy.owed(),
            RouteKind.IDEMPOTENT,
            "reward" + i,
            CrashingServers.CRASHING_BODY);
        timers.advance(Duration.ofSeconds(5));
      }

      assertThat(servers.crashes()).isEqualTo(4);
    }
  }
}
