package org.amaranthstream.calls;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthstream.http.HttpStatus;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.RouteId;
import org.amaranthstream.ids.WorkspaceId;
import org.amaranthstream.quarantine.PoisonRegistry;
import org.amaranthstream.routing.Route;
import org.amaranthstream.routing.RouteKind;
import org.amaranthstream.routing.WeightedService;
import org.amaranthstream.servers.ServerChoice;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Which attempts of calls count as begun, and when they began. */
class CountedCallsTest {
  private static final WorkspaceId WORKSPACE = WorkspaceId.of("w");
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final Duration CONNECT_TIME = Duration.ofMillis(5);
  private static final Duration RESPONSE_TIME = Duration.ofMillis(40);

  /** What happens to one attempt. */
  private enum Outcome {
    RESPONDS,
    FAILS,
    NOT_SENT,
    NOT_RUN,
    REPLACED,
    CONNECTION_LOST,
    HANGS
  }

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final ServerDirectory directory = ServerDirectory.create(timers);
  private final ArrayDeque<Outcome> outcomes = new ArrayDeque<>();
  private final List<Duration> began = new ArrayList<>();
  private final CallService calls =
      CallService.builder()
          .servers(
              directory, ServerChoice.in(AvailabilityZoneId.of("a"), unused -> Optional.empty()))
          .transport(this::send)
          .timers(timers)
          .poison(PoisonRegistry.create(Duration.ofMinutes(10)))
          .permits((server, patience, listener) -> listener.accept(true))
          .usage((workspace, atNanos) -> began.add(Duration.ofNanos(atNanos)))
          .build();

  @BeforeEach
  void startServers() {
    directory.onRegistration(StreamingServers.registration("s-1", 1, "v1"));
    directory.onRegistration(StreamingServers.registration("s-2", 1, "v1"));
    directory.onRegistration(StreamingServers.registration("s-3", 1, "v1"));
  }

  private CallTransport.Attempt send(
      TrackedServer server, OutboundCall call, Duration timeLeft, AttemptListener listener) {
    Outcome outcome = outcomes.remove();
    timers.after(CONNECT_TIME, () -> onConnected(outcome, listener));
    return new CallTransport.Attempt() {
      @Override
      public void cancel() {}

      @Override
      public void setPaused(boolean isPaused) {}
    };
  }

  private void onConnected(Outcome outcome, AttemptListener listener) {
    if (outcome == Outcome.NOT_SENT) {
      listener.onFailed(new AttemptFailure.NotSent("refused"));
      return;
    }
    listener.onSent();
    timers.after(RESPONSE_TIME, () -> onResponse(outcome, listener));
  }

  private static void onResponse(Outcome outcome, AttemptListener listener) {
    switch (outcome) {
      case RESPONDS, FAILS -> {
        int status = outcome == Outcome.RESPONDS ? 200 : 500;
        listener.onHead(
            new ResponseHead(
                HttpStatus.of(status),
                MultiMap.caseInsensitiveMultiMap(),
                OptionalLong.empty(),
                Optional.empty()));
        listener.onData(Buffer.buffer("x"));
        listener.onEnd();
      }
      case NOT_RUN -> listener.onFailed(new AttemptFailure.NotRun("full"));
      case REPLACED -> listener.onFailed(new AttemptFailure.ServerReplaced());
      case CONNECTION_LOST -> listener.onFailed(new AttemptFailure.ConnectionLost("reset"));
      default -> {}
    }
  }

  private static Route route(RouteKind kind) {
    return Route.builder()
        .id(RouteId.of("r"))
        .match("h", "/")
        .kind(kind)
        .timeout(TIMEOUT)
        .latencyObjective(Duration.ofMillis(400))
        .maxAttempts(3)
        .services(ImmutableList.of(new WeightedService(StreamingServers.SERVICE, 1)))
        .build();
  }

  private void call(RouteKind kind, CallPolicy policy, Optional<WorkspaceId> workspace) {
    OutboundCall call =
        new OutboundCall(
            "id",
            "POST",
            "/x",
            MultiMap.caseInsensitiveMultiMap(),
            Buffer.buffer("b"),
            workspace,
            Optional.empty());
    calls.start(route(kind), policy, call, TIMEOUT, new RecordingExchange());
    timers.advance(TIMEOUT.plusSeconds(1));
  }

  private void call(RouteKind kind, Outcome... scripted) {
    Collections.addAll(outcomes, scripted);
    call(kind, CallPolicy.of(route(kind)), Optional.of(WORKSPACE));
  }

  @Test
  void requestBeginsWhenItIsSent() {
    call(RouteKind.IDEMPOTENT, Outcome.RESPONDS);

    assertThat(began).containsExactly(CONNECT_TIME);
  }

  @Test
  void streamBeginsWithItsFirstEvent() {
    call(RouteKind.STREAMING, Outcome.RESPONDS);

    assertThat(began).containsExactly(CONNECT_TIME.plus(RESPONSE_TIME));
  }

  @Test
  void attemptsThatServersDidNotRunDoNotCount() {
    call(RouteKind.IDEMPOTENT, Outcome.NOT_SENT, Outcome.NOT_RUN, Outcome.RESPONDS);

    assertThat(began).hasSize(1);
  }

  @Test
  void attemptAtReplacedServerDoesNotCount() {
    call(RouteKind.IDEMPOTENT, Outcome.REPLACED, Outcome.RESPONDS);

    assertThat(began).hasSize(1);
  }

  @Test
  void eachAttemptThatMayHaveRunCounts() {
    call(RouteKind.IDEMPOTENT, Outcome.FAILS, Outcome.CONNECTION_LOST, Outcome.RESPONDS);

    assertThat(began).hasSize(3);
  }

  @Test
  void hedgedAttemptAndTheOneItReplacesCount() {
    call(RouteKind.IDEMPOTENT, Outcome.HANGS, Outcome.RESPONDS);

    assertThat(began).hasSize(2);
  }

  @Test
  void streamWithoutAnEventDoesNotCount() {
    call(RouteKind.STREAMING, Outcome.HANGS);

    assertThat(began).isEmpty();
  }

  @Test
  void rewardCallsAndCallsWithoutWorkspaceDoNotCount() {
    outcomes.add(Outcome.RESPONDS);
    call(RouteKind.IDEMPOTENT, CallPolicy.owed(), Optional.of(WORKSPACE));
    outcomes.add(Outcome.RESPONDS);
    call(RouteKind.IDEMPOTENT, CallPolicy.of(route(RouteKind.IDEMPOTENT)), Optional.empty());

    assertThat(began).isEmpty();
  }
}
