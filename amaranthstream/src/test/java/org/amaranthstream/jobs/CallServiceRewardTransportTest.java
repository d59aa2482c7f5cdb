package org.amaranthstream.jobs;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.vertx.core.MultiMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.amaranthstream.calls.AttemptFailure;
import org.amaranthstream.calls.AttemptListener;
import org.amaranthstream.calls.CallService;
import org.amaranthstream.calls.CallTransport;
import org.amaranthstream.calls.ResponseHead;
import org.amaranthstream.http.HttpStatus;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.RewardCallId;
import org.amaranthstream.ids.RouteId;
import org.amaranthstream.quarantine.PoisonRegistry;
import org.amaranthstream.routing.Route;
import org.amaranthstream.routing.RouteKind;
import org.amaranthstream.routing.WeightedService;
import org.amaranthstream.servers.ServerChoice;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.ServerRegistration;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.Test;

/** Outcomes of reward calls, by what the server of the scoring service responds. */
class CallServiceRewardTransportTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final ServerDirectory directory = ServerDirectory.create(timers);
  private final List<RewardOutcome> outcomes = new ArrayList<>();

  private RewardOutcome send(Consumer<AttemptListener> response) {
    ServerRegistration server = SimulatedServers.registration("server", 4, 1);
    directory.onRegistration(server);
    CallTransport transport =
        (to, call, timeLeft, listener) -> {
          timers.after(Duration.ofMillis(1), () -> response.accept(listener));
          return new IgnoredAttempt();
        };
    CallService calls =
        CallService.builder()
            .servers(
                directory, ServerChoice.in(AvailabilityZoneId.of("a"), unused -> Optional.empty()))
            .transport(transport)
            .timers(timers)
            .poison(PoisonRegistry.create(Duration.ofMinutes(10)))
            .permits((limited, patience, listener) -> listener.accept(true))
            .build();
    Route route =
        Route.builder()
            .id(RouteId.of("score"))
            .match("h", "/score/")
            .kind(RouteKind.IDEMPOTENT)
            .timeout(TIMEOUT)
            .latencyObjective(Duration.ofMillis(200))
            .maxAttempts(2)
            .services(ImmutableList.of(new WeightedService(server.service(), 1)))
            .build();
    CallServiceRewardTransport.over(calls)
        .start(
            route,
            new RewardCall(RewardCallId.of("call"), "h", "/score/x", new byte[0]),
            TIMEOUT,
            outcomes::add);
    timers.advance(TIMEOUT.multipliedBy(2));
    assertThat(outcomes).hasSize(1);
    return outcomes.get(0);
  }

  private RewardOutcome respond(int status, Optional<String> signature) {
    return send(
        listener -> {
          listener.onHead(
              new ResponseHead(
                  HttpStatus.of(status),
                  MultiMap.caseInsensitiveMultiMap(),
                  OptionalLong.empty(),
                  signature));
          listener.onEnd();
        });
  }

  @Test
  void takeTheScoreFromTheSignatureOfSuccess() {
    assertThat(respond(200, Optional.of("seal")))
        .isEqualTo(new RewardOutcome.Scored(new Score("seal")));
  }

  @Test
  void doNotTakeSuccessWithoutSignatureForScore() {
    assertThat(respond(200, Optional.empty())).isInstanceOf(RewardOutcome.Broken.class);
  }

  @Test
  void countOnlyStatus500AsFailureOfTheService() {
    assertThat(respond(500, Optional.of("seal"))).isEqualTo(new RewardOutcome.Failed(500));
  }

  /** Such a call is repeated until the item timeout, as nothing says that it failed for good. */
  @Test
  void doNotGiveUpAfterAnotherStatus() {
    assertThat(respond(422, Optional.of("seal"))).isInstanceOf(RewardOutcome.Broken.class);
  }

  @Test
  void areBrokenWhenTheConnectionIsLost() {
    assertThat(send(listener -> listener.onFailed(new AttemptFailure.ConnectionLost("closed"))))
        .isInstanceOf(RewardOutcome.Broken.class);
  }

  @Test
  void areNotRunWhenTheServerIsFull() {
    assertThat(send(listener -> listener.onFailed(new AttemptFailure.NotRun("full"))))
        .isInstanceOf(RewardOutcome.NotRun.class);
  }

  @Test
  void areBrokenWhenNothingIsReceived() {
    assertThat(send(listener -> {})).isInstanceOf(RewardOutcome.Broken.class);
  }

  /** An attempt that nothing needs to cancel. */
  private static final class IgnoredAttempt implements CallTransport.Attempt {
    @Override
    public void cancel() {}

    @Override
    public void setPaused(boolean isPaused) {}
  }
}
