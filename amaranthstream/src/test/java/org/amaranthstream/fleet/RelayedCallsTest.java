package org.amaranthstream.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.calls.OutboundCall;
import org.amaranthstream.fleet.CuttableServers.Cut;
import org.amaranthstream.ids.WorkspaceId;
import org.amaranthstream.memory.MemoryBudget;
import org.amaranthstream.routing.RouteKind;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Callers of daemons that have lost their links to all backend servers. */
class RelayedCallsTest {
  private static final Duration DEADLINE = Duration.ofMillis(2_500);
  private static final Duration INTERVAL = Duration.ofMillis(500);
  private static final Duration DETECTION = Duration.ofSeconds(3);
  private static final int CALLS = 30;

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final CuttableServers servers = new CuttableServers(timers);
  private final RelayingDaemons daemons = new RelayingDaemons(timers, servers);
  private int lastId;

  private RecordedResponse send(String vm, RouteKind kind) {
    return send(vm, kind, Optional.empty());
  }

  private RecordedResponse send(String vm, RouteKind kind, Optional<WorkspaceId> workspace) {
    lastId++;
    RecordedResponse response = new RecordedResponse("r" + lastId, timers);
    OutboundCall call =
        new OutboundCall(
            response.id(),
            "POST",
            "/" + kind + "/x?q=1",
            MultiMap.caseInsensitiveMultiMap().add("Host", "h:80"),
            Buffer.buffer("body"),
            workspace,
            Optional.empty());
    daemons.daemon(vm).calls().start(RelayingDaemons.route(kind), call, DEADLINE, response);
    return response;
  }

  /** Sends calls at a steady rate and returns those that began after the time for detection. */
  private List<RecordedResponse> sendAll(List<String> vms, RouteKind kind) {
    int calls = (int) DETECTION.dividedBy(INTERVAL) + CALLS;
    List<RecordedResponse> counted = new ArrayList<>();
    for (int i = 0; i < calls; i++) {
      for (String vm : vms) {
        RecordedResponse response = send(vm, kind);
        if (i >= calls - CALLS) {
          counted.add(response);
        }
      }
      timers.advance(INTERVAL);
    }
    timers.advance(DEADLINE);
    return counted;
  }

  private static long served(List<RecordedResponse> responses) {
    return responses.stream().filter(RecordedResponse::isComplete).count();
  }

  private void cut(List<String> vms, Cut cut) {
    vms.forEach(vm -> servers.cut(vm, cut));
  }

  @ParameterizedTest
  @EnumSource(value = Cut.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
  void areServedThroughPeers(Cut cut) {
    cut(List.of("a1", "b1"), cut);
    List<RecordedResponse> responses = sendAll(List.of("a1", "b1"), RouteKind.IDEMPOTENT);

    assertThat(served(responses)).isEqualTo(responses.size());
    assertThat(responses.get(0).body()).isEqualTo("response to " + responses.get(0).id());
  }

  @ParameterizedTest
  @EnumSource(value = Cut.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
  void areServedByAnotherZoneIfTheWholeZoneIsCut(Cut cut) {
    cut(List.of("a1", "a2", "a3"), cut);
    List<RecordedResponse> responses = sendAll(List.of("a1", "a2", "a3"), RouteKind.IDEMPOTENT);

    assertThat(served(responses)).isEqualTo(responses.size());
  }

  @ParameterizedTest
  @EnumSource(value = Cut.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
  void runAtMostOnceIfTheyMustNotBeRepeated(Cut cut) {
    cut(List.of("a1"), cut);
    List<RecordedResponse> responses = sendAll(List.of("a1"), RouteKind.NON_IDEMPOTENT);

    assertThat(served(responses)).isEqualTo(responses.size());
    assertThat(new HashSet<>(servers.runs())).hasSize(servers.runs().size());
  }

  /** A second attempt goes through a peer while the servers behind the first are slow. */
  @Test
  void reachNoMoreServersThanTheirRouteAllows() {
    servers.cut("a1", Cut.REFUSED);
    timers.advance(DETECTION);
    servers.slowDown();
    RecordedResponse response = send("a1", RouteKind.IDEMPOTENT);
    timers.advance(DEADLINE);

    long runs = servers.runs().stream().filter(response.id()::equals).count();
    assertThat(runs).isEqualTo(2);
  }

  /**
   * Guards against a success of a server that has answered the same request with a failure: the
   * first attempt runs when its daemon loses the other servers and asks a peer.
   */
  @ParameterizedTest
  @EnumSource(
      value = Cut.class,
      names = {"REFUSED", "HANGING"})
  void neverReachOneServerTwice(Cut cut) {
    servers.slowDown();
    final RecordedResponse response = send("a1", RouteKind.IDEMPOTENT);
    timers.advance(Duration.ofMillis(20));
    servers.cut("a1", cut);
    timers.advance(DEADLINE);

    assertThat(servers.runs()).containsExactly(response.id(), response.id());
    assertThat(servers.placedRuns()).containsNoDuplicates();
  }

  /** What another server answers must not become a part of the stream. */
  @Test
  void areAbortedWhenTheirStreamBreaksOff() {
    servers.streamParts(5);
    servers.loseConnectionAfter(2);
    servers.cut("a1", Cut.REFUSED);
    RecordedResponse response = send("a1", RouteKind.STREAMING);
    timers.advance(DEADLINE);

    assertThat(response.body()).isEqualTo("pp");
    assertThat(response.isAborted()).isTrue();
    assertThat(response.isOver()).isFalse();
    assertThat(servers.runs()).containsExactly(response.id());
  }

  @Test
  void areServedDirectlyOnceTheCutHasEnded() {
    servers.cut("a1", Cut.HANGING);
    List<RecordedResponse> during = sendAll(List.of("a1"), RouteKind.IDEMPOTENT);
    servers.cut("a1", Cut.NONE);
    timers.advance(Duration.ofSeconds(4));
    int relayed = daemons.exchanges();
    List<RecordedResponse> after = sendAll(List.of("a1"), RouteKind.IDEMPOTENT);

    assertThat(served(during)).isEqualTo(during.size());
    assertThat(served(after)).isEqualTo(after.size());
    assertThat(daemons.exchanges()).isEqualTo(relayed);
  }

  /** A caller that does not read must not fill the link, which other calls share. */
  @Test
  void pauseWhileTheCallerDoesNotRead() {
    servers.cut("a1", Cut.REFUSED);
    sendAll(List.of("a1"), RouteKind.IDEMPOTENT);
    servers.streamParts(100);
    RecordedResponse response = send("a1", RouteKind.STREAMING);
    response.setReading(false);
    timers.advance(Duration.ofSeconds(1));
    int received = response.body().length();

    assertThat(received).isAtLeast(1);
    assertThat(received).isLessThan(10);

    timers.advance(Duration.ofMillis(200));
    assertThat(response.body()).hasLength(received);

    response.setReading(true);
    timers.advance(Duration.ofMillis(1_200));
    assertThat(response.isComplete()).isTrue();
    assertThat(response.body()).hasLength(100);
  }

  @Test
  void areNotRelayedWhileTheServersRespond() {
    List<RecordedResponse> responses = sendAll(daemons.names(), RouteKind.IDEMPOTENT);

    assertThat(served(responses)).isEqualTo(responses.size());
    assertThat(daemons.exchanges()).isEqualTo(0);
  }

  @Nested
  class WhileTheServersAreDownForAllDaemons {
    @ParameterizedTest
    @EnumSource(value = Cut.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void areRelayedAtMostTwiceAndNeverInCircles(Cut cut) {
      cut(daemons.names(), cut);
      List<RecordedResponse> responses = sendAll(daemons.names(), RouteKind.IDEMPOTENT);

      assertThat(served(responses)).isEqualTo(0);
      assertThat(daemons.exchanges()).isAtMost(2 * lastId);
      assertThat(servers.runs()).isEmpty();
    }

    @Test
    void areRejectedAsNotRunSoon() {
      cut(daemons.names(), Cut.REFUSED);
      List<RecordedResponse> responses = sendAll(daemons.names(), RouteKind.IDEMPOTENT);

      for (RecordedResponse response : responses) {
        assertWithMessage(response.id()).that(response.isNotRun()).isTrue();
        assertWithMessage(response.id())
            .that(response.duration())
            .isLessThan(Duration.ofMillis(200));
      }
    }
  }

  @Nested
  class AtPeer {
    /** The workspace has a field of its own, so that no header of a caller can stand for it. */
    @Test
    void keepTheWorkspaceThatTheSenderFound() {
      Optional<WorkspaceId> workspace = Optional.of(WorkspaceId.of("w"));
      servers.cut("a1", Cut.REFUSED);
      RecordedResponse named = send("a1", RouteKind.IDEMPOTENT, workspace);
      RecordedResponse unnamed = send("a1", RouteKind.IDEMPOTENT);
      timers.advance(DEADLINE);

      assertThat(served(List.of(named, unnamed))).isEqualTo(2);
      for (OutboundCall call : servers.calls()) {
        assertThat(call.workspace())
            .isEqualTo(call.id().equals(named.id()) ? workspace : Optional.empty());
        assertThat(call.headers().names()).containsExactly("Host");
      }
    }

    @Test
    void areCancelledWhenTheCallerDisconnects() {
      servers.cut("a1", Cut.REFUSED);
      servers.slowDown();
      RecordedResponse response = send("a1", RouteKind.IDEMPOTENT);
      timers.advance(Duration.ofMillis(50));
      assertThat(servers.runs()).contains(response.id());
      response.disconnect();
      timers.advance(Duration.ofMillis(50));

      assertThat(servers.cancelled()).contains(response.id());
    }

    @Test
    void endAtTheDeadlineOfTheirCaller() {
      servers.cut("a1", Cut.REFUSED);
      servers.slowDown();
      RecordedResponse response = send("a1", RouteKind.IDEMPOTENT);
      timers.advance(DEADLINE.plusMillis(50));

      assertThat(response.isOver()).isTrue();
      assertThat(servers.cancelled()).contains(response.id());
    }

    @Test
    void areRejectedWhileItDrains() {
      servers.cut("a1", Cut.REFUSED);
      daemons.names().stream()
          .filter(vm -> !vm.equals("a1"))
          .forEach(vm -> daemons.daemon(vm).drain());
      RecordedResponse response = send("a1", RouteKind.IDEMPOTENT);
      timers.advance(DEADLINE);

      assertThat(response.isNotRun()).isTrue();
      assertThat(servers.runs()).isEmpty();
    }

    @Test
    void areRejectedIfItsConfigurationIsOlder() {
      servers.cut("a1", Cut.REFUSED);
      daemons.daemon("a1").configure(2);
      RecordedResponse response = send("a1", RouteKind.IDEMPOTENT);
      timers.advance(DEADLINE);

      assertThat(response.isNotRun()).isTrue();
      assertThat(servers.runs()).isEmpty();
    }
  }

  /** Memory of the daemons that serve the calls of others. */
  @Nested
  class Memory {
    private long usedBytes() {
      return daemons.names().stream()
          .mapToLong(vm -> daemons.daemon(vm).budget().usedBytes())
          .sum();
    }

    @Test
    void isTakenForAsLongAsTheCallsRun() {
      servers.cut("a1", Cut.REFUSED);
      timers.advance(DETECTION);
      servers.slowDown();
      RecordedResponse response = send("a1", RouteKind.NON_IDEMPOTENT);
      timers.advance(Duration.ofMillis(100));
      assertThat(response.isOver()).isFalse();
      assertThat(usedBytes()).isEqualTo("body".length());

      timers.advance(DEADLINE);
      assertThat(usedBytes()).isEqualTo(0);
    }

    @Test
    void isGivenBackWhenTheCallerLeaves() {
      servers.cut("a1", Cut.REFUSED);
      timers.advance(DETECTION);
      servers.slowDown();
      RecordedResponse response = send("a1", RouteKind.NON_IDEMPOTENT);
      timers.advance(Duration.ofMillis(100));
      response.disconnect();
      timers.advance(Duration.ofMillis(100));

      assertThat(usedBytes()).isEqualTo(0);
    }

    @Test
    void thatIsTakenRejectsCalls() {
      servers.cut("a1", Cut.REFUSED);
      timers.advance(DETECTION);
      for (String vm : daemons.names()) {
        MemoryBudget budget = daemons.daemon(vm).budget();
        budget.open().forceGrow(budget.capacityBytes());
      }
      RecordedResponse response = send("a1", RouteKind.IDEMPOTENT);
      timers.advance(DEADLINE);

      assertThat(response.isNotRun()).isTrue();
      assertThat(servers.runs()).isEmpty();
    }
  }
}
