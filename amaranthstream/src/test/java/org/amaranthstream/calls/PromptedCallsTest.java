package org.amaranthstream.calls;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthstream.http.HttpStatus;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.PromptPartId;
import org.amaranthstream.ids.RouteId;
import org.amaranthstream.ids.ServiceId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.prompts.Prompt;
import org.amaranthstream.prompts.PromptPart;
import org.amaranthstream.prompts.PromptPlacement;
import org.amaranthstream.quarantine.PoisonRegistry;
import org.amaranthstream.routing.EngineCapacity;
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

/** Calls of sessions, each of which goes on with the prompt of the call before. */
class PromptedCallsTest {
  private static final ServiceId SERVICE = ServiceId.of("engines");
  private static final AvailabilityZoneId ZONE = AvailabilityZoneId.of("a");
  private static final String SESSION = "session";
  private static final int ENGINES = 4;

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final ServerDirectory directory = ServerDirectory.create(timers);
  private final List<BackendServerId> used = new ArrayList<>();
  private final PromptPlacement placement =
      PromptPlacement.create(
          service -> Optional.of(new EngineCapacity(8, 10_000, 100, 1_000)), timers);
  private final CallService calls =
      CallService.builder()
          .servers(directory, ServerChoice.in(ZONE, unused -> Optional.empty()))
          .transport(this::respond)
          .timers(timers)
          .poison(PoisonRegistry.create(Duration.ofMinutes(1)))
          .permits((server, patience, listener) -> listener.accept(true))
          .prompts(PromptedCallsTest::read, placement)
          .build();

  @BeforeEach
  void start() {
    for (int i = 0; i < ENGINES; i++) {
      directory.onRegistration(
          new ServerRegistration(
              BackendServerId.of("e" + i),
              1,
              SERVICE,
              SoftwareVersion.of("v1"),
              "10.0.0.9",
              8080,
              ZONE,
              8,
              false,
              ImmutableMap.of()));
    }
  }

  private CallTransport.Attempt respond(
      TrackedServer server, OutboundCall call, Duration timeLeft, AttemptListener listener) {
    used.add(server.id());
    timers.after(
        Duration.ofMillis(20),
        () -> {
          listener.onHead(
              new ResponseHead(
                  HttpStatus.of(200),
                  MultiMap.caseInsensitiveMultiMap(),
                  OptionalLong.of(0),
                  Optional.of("signature")));
          listener.onEnd();
        });
    return new CallTransport.Attempt() {
      @Override
      public void cancel() {}

      @Override
      public void setPaused(boolean isPaused) {}
    };
  }

  private static Optional<Prompt> read(Iterable<Map.Entry<String, String>> headers) {
    for (Map.Entry<String, String> header : headers) {
      if (header.getKey().equals(SESSION)) {
        PromptPart part = new PromptPart(PromptPartId.of(header.getValue()), 1_000);
        return Optional.of(new Prompt(ModelId.of("m"), ImmutableList.of(part), 0));
      }
    }
    return Optional.empty();
  }

  private static Route route(boolean isSharingPrompts) {
    return Route.builder()
        .id(RouteId.of("chat"))
        .match("h", "/chat/")
        .kind(RouteKind.IDEMPOTENT)
        .sharingPrompts(isSharingPrompts)
        .services(ImmutableList.of(new WeightedService(SERVICE, 1)))
        .build();
  }

  private TrackedServer engine(BackendServerId id) {
    return directory.available(SERVICE).stream()
        .filter(server -> server.id().equals(id))
        .findFirst()
        .orElseThrow();
  }

  private BackendServerId send(boolean isSharingPrompts, String session) {
    OutboundCall call =
        new OutboundCall(
            session + "-" + used.size(),
            "POST",
            "/chat/x",
            MultiMap.caseInsensitiveMultiMap().add(SESSION, session),
            Buffer.buffer(session),
            Optional.empty(),
            Optional.empty());
    calls.start(route(isSharingPrompts), call, Duration.ofSeconds(2), new RecordingExchange());
    timers.advance(Duration.ofMillis(40));
    return used.get(used.size() - 1);
  }

  @Test
  void sessionReturnsToTheEngineThatHoldsItsPrompt() {
    BackendServerId first = send(true, "s1");
    engine(first).onRequestSent();
    BackendServerId other = send(true, "s2");

    engine(first).onRequestEnded();

    assertThat(other).isNotEqualTo(first);
    assertThat(send(true, "s2")).isEqualTo(other);
  }

  @Test
  void busyHolderIsNotWaitedForWhenReadingIsShort() {
    BackendServerId first = send(true, "s1");
    engine(first).onRequestSent();

    assertThat(send(true, "s1")).isNotEqualTo(first);
  }

  @Test
  void otherRoutesAreNotAffected() {
    BackendServerId first = send(true, "s1");
    engine(first).onRequestSent();
    BackendServerId other = send(true, "s2");
    engine(first).onRequestEnded();

    assertThat(other).isNotEqualTo(first);
    assertThat(send(false, "s2")).isEqualTo(first);
  }
}
