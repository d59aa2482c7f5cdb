package org.amaranthstream.calls;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthstream.http.HttpStatus;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.RouteId;
import org.amaranthstream.quarantine.PoisonRegistry;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.routing.Route;
import org.amaranthstream.routing.RouteKind;
import org.amaranthstream.routing.WeightedService;
import org.amaranthstream.servers.ServerChoice;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Bodies of calls that have ended, whose memory is given back although they are referenced. */
class EndedCallsTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final Buffer BODY = Buffer.buffer("body");
  private static final Route ROUTE =
      Route.builder()
          .id(RouteId.of("r"))
          .match("h", "/")
          .kind(RouteKind.IDEMPOTENT)
          .timeout(TIMEOUT)
          .latencyObjective(Duration.ofMillis(400))
          .maxAttempts(2)
          .services(ImmutableList.of(new WeightedService(StreamingServers.SERVICE, 1)))
          .build();

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final ServerDirectory directory = ServerDirectory.create(timers);
  private final List<AttemptListener> attempts = new ArrayList<>();
  private final List<Long> keptAtEnd = new ArrayList<>();
  private final CallService calls =
      CallService.builder()
          .servers(
              directory, ServerChoice.in(AvailabilityZoneId.of("a"), unused -> Optional.empty()))
          .transport(this::send)
          .timers(timers)
          .poison(PoisonRegistry.create(Duration.ofMinutes(10)))
          .permits((server, patience, listener) -> listener.accept(true))
          .build();
  private ActiveCall call;

  /** An exchange that records how many bytes the call keeps when it reports its end. */
  private final class Exchange implements CallerExchange {
    @Override
    public void onCallEnded() {
      keptAtEnd.add(call.keptBytes());
    }

    @Override
    public void onCallerDisconnected(Runnable task) {}

    @Override
    public void sendResponse(ResponseHead head, Buffer body) {}

    @Override
    public void beginResponse(ResponseHead head) {}

    @Override
    public void write(Buffer data) {}

    @Override
    public boolean isFull() {
      return false;
    }

    @Override
    public void onDrained(Runnable task) {}

    @Override
    public void end() {}

    @Override
    public void abort() {}

    @Override
    public void fail(ErrorDetail error, Duration retryAfter) {}
  }

  private CallTransport.Attempt send(
      TrackedServer server, OutboundCall sent, Duration timeLeft, AttemptListener listener) {
    attempts.add(listener);
    return new CallTransport.Attempt() {
      @Override
      public void cancel() {}

      @Override
      public void setPaused(boolean isPaused) {}
    };
  }

  @BeforeEach
  void start() {
    directory.onRegistration(StreamingServers.registration("s-1", 1, "v1"));
    directory.onRegistration(StreamingServers.registration("s-2", 1, "v1"));
    OutboundCall request =
        new OutboundCall(
            "id",
            "POST",
            "/x",
            MultiMap.caseInsensitiveMultiMap(),
            BODY,
            Optional.empty(),
            Optional.empty());
    CandidateServers servers =
        CandidateServers.of(directory.available(StreamingServers.SERVICE), ImmutableSet.of());
    CallContent content =
        new QuarantinableContent(
            new CrashTracker(PoisonRegistry.create(Duration.ofMinutes(10)), timers), "h", request);
    call =
        new ActiveCall(
            calls, ROUTE, CallPolicy.of(ROUTE), request, content, servers, TIMEOUT, new Exchange());
    call.start();
    assertThat(call.keptBytes()).isEqualTo(BODY.length());
  }

  private void respond(int status) {
    AttemptListener last = attempts.get(attempts.size() - 1);
    last.onSent();
    last.onHead(
        new ResponseHead(
            HttpStatus.of(status),
            MultiMap.caseInsensitiveMultiMap(),
            OptionalLong.empty(),
            Optional.empty()));
    last.onData(Buffer.buffer("response"));
    last.onEnd();
  }

  @Test
  void bodyIsClearedBeforeItsMemoryIfTheCallerLeaves() {
    call.cancel();

    assertThat(keptAtEnd).containsExactly(0L);
  }

  @Test
  void bodiesAreClearedBeforeTheirMemoryWithAnAnswer() {
    respond(200);

    assertThat(keptAtEnd).containsExactly(0L);
  }

  @Test
  void bodiesAreClearedBeforeTheirMemoryIfServersFail() {
    respond(500);
    assertThat(keptAtEnd).isEmpty();
    assertThat(call.keptBytes()).isEqualTo(BODY.length() + "response".length());

    respond(500);
    assertThat(keptAtEnd).containsExactly(0L);
  }

  @Test
  void bodyIsClearedBeforeItsMemoryWithoutAnAnswer() {
    timers.advance(TIMEOUT);

    assertThat(keptAtEnd).containsExactly(0L);
  }
}
