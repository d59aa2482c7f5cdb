package org.amaranthstream.calls;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
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

/** Streams that callers resume while servers of two software versions serve. */
class ResumedStreamsTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int STREAMS = 40;

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final StreamingServers servers = new StreamingServers(timers);
  private final ServerDirectory directory = ServerDirectory.create(timers);
  private final LocalStreamOrigins shared = LocalStreamOrigins.create();
  private final CallService first = daemon(shared);
  private final CallService second = daemon(shared);
  private final CallService withoutRecords = daemon(LocalStreamOrigins.create());

  private CallService daemon(StreamOrigins origins) {
    return CallService.builder()
        .servers(directory, ServerChoice.in(AvailabilityZoneId.of("a"), unused -> Optional.empty()))
        .transport(servers)
        .timers(timers)
        .poison(PoisonRegistry.create(Duration.ofMinutes(10)))
        .permits((server, patience, listener) -> listener.accept(true))
        .origins(origins)
        .build();
  }

  @BeforeEach
  void startServers() {
    directory.onRegistration(StreamingServers.registration("old-1", 1, "v1"));
    directory.onRegistration(StreamingServers.registration("old-2", 1, "v1"));
    directory.onRegistration(StreamingServers.registration("new-1", 1, "v2"));
    directory.onRegistration(StreamingServers.registration("new-2", 1, "v2"));
  }

  private static Route route() {
    return Route.builder()
        .id(RouteId.of("chat"))
        .match("h", "/")
        .kind(RouteKind.STREAMING)
        .resumable(true)
        .maxAttempts(2)
        .timeout(TIMEOUT)
        .services(ImmutableList.of(new WeightedService(StreamingServers.SERVICE, 1)))
        .build();
  }

  private RecordingExchange send(
      CallService daemon, String id, Optional<StreamResumption> resumption) {
    RecordingExchange exchange = new RecordingExchange();
    OutboundCall call =
        new OutboundCall(
            id,
            "POST",
            "/x",
            MultiMap.caseInsensitiveMultiMap(),
            Buffer.buffer(resumption.flatMap(StreamResumption::firstRequest).orElse(id)),
            Optional.empty(),
            resumption);
    daemon.start(route(), call, TIMEOUT, exchange);
    timers.advance(Duration.ofMillis(50));
    return exchange;
  }

  private RecordingExchange begin(CallService daemon, String id) {
    return send(daemon, id, Optional.empty());
  }

  private RecordingExchange resume(CallService daemon, String id, String firstRequest) {
    return send(daemon, id, Optional.of(new StreamResumption(Optional.of(firstRequest))));
  }

  private void beginAll() {
    for (int i = 0; i < STREAMS; i++) {
      begin(first, "s" + i);
    }
    servers.breakOff();
    timers.advance(Duration.ofSeconds(2));
  }

  private void assertAllContinueAt(CallService daemon) {
    for (int i = 0; i < STREAMS; i++) {
      RecordingExchange resumed = resume(daemon, "r" + i, "s" + i);
      assertThat(resumed.status()).isEqualTo(200);
      assertThat(servers.softwareOf("r" + i)).isEqualTo(servers.softwareOf("s" + i));
    }
  }

  @Test
  void continueAtTheSoftwareThatBeganThemAtTheSameDaemon() {
    beginAll();
    assertAllContinueAt(first);
  }

  @Test
  void continueAtTheSoftwareThatBeganThemAtAnotherDaemon() {
    beginAll();
    assertAllContinueAt(second);
  }

  /** Each resumption names the request of the first event, not the one before. */
  @Test
  void continueAtTheSoftwareThatBeganThemWhenResumedTwice() {
    beginAll();
    assertAllContinueAt(second);
    servers.breakOff();
    timers.advance(Duration.ofSeconds(2));
    assertAllContinueAt(first);
  }

  /** A stream that may be resumed may also run twice, and nothing of it was delivered. */
  @Test
  void beginAtAnotherServerIfTheConnectionIsLostBeforeTheirFirstEvent() {
    servers.loseNextRequest();
    RecordingExchange exchange = begin(first, "s");

    assertThat(exchange.status()).isEqualTo(200);
  }

  @Nested
  class WithoutServerOfTheVersion {
    @Test
    void areRejectedAtOnce() {
      directory.onRegistrationRemoved(BackendServerId.of("new-1"));
      directory.onRegistrationRemoved(BackendServerId.of("new-2"));
      begin(first, "s");
      directory.onRegistrationRemoved(BackendServerId.of("old-1"));
      directory.onRegistrationRemoved(BackendServerId.of("old-2"));
      directory.onRegistration(StreamingServers.registration("new-1", 2, "v2"));
      RecordingExchange resumed = resume(second, "r", "s");

      assertThat(resumed.errorCode()).hasValue(ResultCode.NOT_RUN_NO_BACKEND);
      assertThat(servers.softwareOf("r")).isEmpty();
    }
  }

  @Nested
  class WithoutRecord {
    @Test
    void areRejectedWhileTwoVersionsServe() {
      timers.advance(TIMEOUT.multipliedBy(3));
      RecordingExchange resumed = resume(withoutRecords, "r", "s");

      assertThat(resumed.errorCode()).hasValue(ResultCode.NOT_RUN_NO_BACKEND);
      assertThat(servers.softwareOf("r")).isEmpty();
    }

    @Test
    void areRejectedIfTheyDoNotNameTheirFirstRequest() {
      begin(first, "s");
      RecordingExchange resumed =
          send(first, "r", Optional.of(new StreamResumption(Optional.empty())));

      assertThat(resumed.errorCode()).hasValue(ResultCode.NOT_RUN_NO_BACKEND);
    }

    @Test
    void areRejectedSoonAfterTheOtherVersionHasGone() {
      timers.advance(TIMEOUT.multipliedBy(3));
      directory.onRegistrationRemoved(BackendServerId.of("old-1"));
      directory.onRegistrationRemoved(BackendServerId.of("old-2"));

      assertThat(resume(withoutRecords, "r", "s").errorCode())
          .hasValue(ResultCode.NOT_RUN_NO_BACKEND);
    }

    @Test
    void continueIfOnlyOneVersionCanHaveBegunThem() {
      directory.onRegistrationRemoved(BackendServerId.of("old-1"));
      directory.onRegistrationRemoved(BackendServerId.of("old-2"));
      timers.advance(TIMEOUT.multipliedBy(3));

      assertThat(resume(withoutRecords, "r", "s").status()).isEqualTo(200);
    }
  }

  /** A server may restart under its id with other software before its registration is read. */
  @Test
  void doNotContinueAtServerThatHasJustFailed() {
    directory.onRegistrationRemoved(BackendServerId.of("old-2"));
    directory.onRegistrationRemoved(BackendServerId.of("new-1"));
    directory.onRegistrationRemoved(BackendServerId.of("new-2"));
    begin(first, "s");
    servers.breakOff();
    directory.onRegistration(StreamingServers.registration("new-1", 2, "v2"));

    assertThat(resume(second, "r", "s").errorCode()).hasValue(ResultCode.NOT_RUN_NO_BACKEND);
    timers.advance(Duration.ofSeconds(1));
    assertThat(resume(second, "again", "s").status()).isEqualTo(200);
  }
}
