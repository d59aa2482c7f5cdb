package org.amaranthstream.calls;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthstream.http.HttpStatus;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.RouteId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.quarantine.PoisonRegistry;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.routing.Route;
import org.amaranthstream.routing.RouteKind;
import org.amaranthstream.routing.WeightedService;
import org.amaranthstream.servers.ServerChoice;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.ServerRegistration;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Replays requests that arrive during the whole grace period of a planned stop, some of which take
 * seconds: none may be cut off without a response.
 */
class GracefulShutdownTest {
  private static final ServiceId SERVICE = ServiceId.of("portal");
  private static final Duration INTERVAL = Duration.ofMillis(50);
  private static final Duration GRACE_PERIOD = Duration.ofMillis(7_000);
  private static final Duration BALANCER_DELAY = Duration.ofMillis(3_200);
  private static final Duration FAST = Duration.ofMillis(40);
  private static final ImmutableList<Duration> DEADLINES =
      ImmutableList.of(Duration.ofSeconds(1), Duration.ofMillis(2_500), Duration.ofSeconds(12));

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final GracefulShutdown shutdown = GracefulShutdown.create(timers);
  private final ServerDirectory directory = ServerDirectory.create(timers);
  private final List<Arrival> arrivals = new ArrayList<>();
  private Duration slowest = FAST;
  private int sent;
  private final CallService calls =
      CallService.builder()
          .servers(
              directory, ServerChoice.in(AvailabilityZoneId.of("a"), unused -> Optional.empty()))
          .transport(this::send)
          .timers(timers)
          .poison(PoisonRegistry.create(Duration.ofMinutes(10)))
          .permits((server, patience, listener) -> listener.accept(true))
          .build();
  private final Route route =
      Route.builder()
          .id(RouteId.of("once"))
          .match("h", "/")
          .kind(RouteKind.NON_IDEMPOTENT)
          .maxAttempts(1)
          .timeout(Duration.ofSeconds(10))
          .services(ImmutableList.of(new WeightedService(SERVICE, 1)))
          .build();

  private record Arrival(
      Duration sinceBegin, boolean isAccepted, Duration timeLeft, RecordingExchange exchange) {
    boolean isAnswered() {
      return exchange.status() != 0 || exchange.errorCode().isPresent();
    }
  }

  @BeforeEach
  void registerServer() {
    directory.onRegistration(
        new ServerRegistration(
            BackendServerId.of("s"),
            1,
            SERVICE,
            SoftwareVersion.of("v1"),
            "10.0.0.9",
            8080,
            AvailabilityZoneId.of("a"),
            1_000,
            false,
            ImmutableMap.of()));
  }

  /** Every twentieth request takes the longest time, which may exceed its deadline. */
  private CallTransport.Attempt send(
      TrackedServer server, OutboundCall call, Duration timeLeft, AttemptListener listener) {
    Duration time = ++sent % 20 == 0 ? slowest : FAST;
    boolean[] isCancelled = new boolean[1];
    timers.after(time, () -> respond(listener, isCancelled[0]));
    return new CallTransport.Attempt() {
      @Override
      public void cancel() {
        isCancelled[0] = true;
      }

      @Override
      public boolean isSent() {
        return true;
      }

      @Override
      public void setPaused(boolean isPaused) {}
    };
  }

  private static void respond(AttemptListener listener, boolean isCancelled) {
    if (!isCancelled) {
      listener.onHead(
          new ResponseHead(
              HttpStatus.of(200),
              MultiMap.caseInsensitiveMultiMap(),
              OptionalLong.empty(),
              Optional.of("seal")));
      listener.onEnd();
    }
  }

  private void arrive(Duration sinceBegin, Duration timeLeft) {
    Duration time = timeLeft.compareTo(route.timeout()) < 0 ? timeLeft : route.timeout();
    boolean isAccepted = shutdown.accepts(time, calls.longestResponse(route));
    RecordingExchange exchange = new RecordingExchange();
    if (isAccepted) {
      calls.start(route, call("r" + arrivals.size()), time, exchange);
    }
    arrivals.add(new Arrival(sinceBegin, isAccepted, time, exchange));
  }

  private static OutboundCall call(String id) {
    return new OutboundCall(
        id,
        "POST",
        "/x",
        MultiMap.caseInsensitiveMultiMap(),
        Buffer.buffer(id),
        Optional.empty(),
        Optional.empty());
  }

  /** Sends requests before and during the shutdown until the process ends. */
  private void replay() {
    for (int i = 0; i < 200; i++) {
      arrive(Duration.ZERO, DEADLINES.get(i % DEADLINES.size()));
      timers.advance(INTERVAL);
    }
    arrivals.clear();
    shutdown.begin(timers.nowNanos());
    Duration sinceBegin = Duration.ZERO;
    for (int i = 0; !shutdown.isGracePeriodOver(); i++) {
      arrive(sinceBegin, DEADLINES.get(i % DEADLINES.size()));
      timers.advance(INTERVAL);
      sinceBegin = sinceBegin.plus(INTERVAL);
    }
    calls.shutDown();
  }

  @Test
  void answersAllRequestsThatItAccepts() {
    slowest = Duration.ofSeconds(9);
    replay();

    for (Arrival arrival : arrivals) {
      assertWithMessage("%s", arrival).that(arrival.isAnswered()).isEqualTo(arrival.isAccepted());
    }
    assertThat(calls.activeCount()).isEqualTo(0);
  }

  @Test
  void failsNoRequestThatArrivedAfterTheBalancerReacted() {
    slowest = Duration.ofSeconds(9);
    replay();

    assertThat(
            arrivals.stream()
                .filter(arrival -> arrival.sinceBegin().compareTo(BALANCER_DELAY) >= 0)
                .map(arrival -> arrival.exchange().errorCode())
                .toList())
        .doesNotContain(Optional.of(ResultCode.OUTCOME_UNKNOWN_SHUTTING_DOWN));
  }

  @Test
  void acceptsAllRequestsUntilTheBalancerReactsIfTheyAreFast() {
    replay();

    assertThat(
            arrivals.stream()
                .filter(arrival -> !arrival.isAccepted())
                .allMatch(arrival -> arrival.sinceBegin().compareTo(BALANCER_DELAY) >= 0))
        .isTrue();
  }

  @Test
  void acceptsRequestsThatEndInTimeUntilTheGracePeriodEnds() {
    replay();

    for (Arrival arrival : arrivals) {
      Duration rest = GRACE_PERIOD.minus(arrival.sinceBegin());
      if (arrival.timeLeft().compareTo(rest) <= 0) {
        assertThat(arrival.isAccepted()).isTrue();
        assertThat(arrival.exchange().status()).isEqualTo(200);
      }
    }
  }

  /** Guards against a busy thread that counts the time from when it learns of the signal. */
  @Test
  void endsInTimeAfterSignalThatIsHandledLate() {
    long signalNanos = timers.nowNanos();
    timers.advance(Duration.ofSeconds(1));
    shutdown.begin(signalNanos);
    timers.advance(GRACE_PERIOD.minusSeconds(1));

    assertThat(shutdown.isGracePeriodOver()).isTrue();
    assertThat(shutdown.accepts(Duration.ofMillis(1), Optional.empty())).isFalse();
  }
}
