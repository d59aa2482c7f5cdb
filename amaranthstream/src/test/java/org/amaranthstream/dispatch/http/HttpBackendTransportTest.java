package org.amaranthstream.dispatch.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.amaranthstream.admission.Priority;
import org.amaranthstream.dispatch.AttemptEnd;
import org.amaranthstream.dispatch.Payload;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.http.FramedHttpClients;
import org.amaranthstream.ids.AttemptId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.ids.WorkClassId;
import org.amaranthstream.membership.BackendServer;
import org.amaranthstream.ring.Duty;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HttpBackendTransportTest {
  private static final AttemptId ATTEMPT = AttemptId.of("a-1");
  private static final Duty DIRECT =
      task -> {
        task.run();
        return true;
      };

  private Vertx vertx;

  @BeforeEach
  void startVertx() {
    vertx = Vertx.vertx();
  }

  @AfterEach
  void closeVertx() {
    ScriptedServer.await(vertx.close());
  }

  @Nested
  class Connecting {
    @Test
    void isNotSentWhenServerRefusesConnections() {
      int freePort;
      try (ScriptedServer stopped = ScriptedServer.start(vertx, (socket, request) -> {})) {
        freePort = stopped.address().port();
      }
      RecordingListener listener = run(ScriptedServer.address(freePort), DIRECT, generate());
      assertThat(listener.awaitEnd()).isInstanceOf(AttemptEnd.NotSent.class);
      assertThat(listener.events()).containsExactly("end");
    }
  }

  @Nested
  class GenerateStreams {
    @Test
    void deliversChunksInOrderAndFinishesAtEndMarker() {
      RecordingListener listener =
          runGenerate(
              stream(
                  line("a-1", 0, 2, "one two"), line("a-1", 2, 1, " three"), endMarker("a-1", 3)));
      AttemptEnd end = listener.awaitEnd();
      assertThat(end).isInstanceOf(AttemptEnd.Finished.class);
      assertThat(((AttemptEnd.Finished) end).response().tokens()).isEqualTo(3);
      assertThat(listener.events())
          .containsExactly("sending", "0:one two", "2: three", "end")
          .inOrder();
    }

    @Test
    void isBrokenWhenStreamEndsWithoutEndMarker() {
      RecordingListener listener = runGenerate(stream(line("a-1", 0, 2, "one two")));
      assertThat(listener.awaitEnd()).isInstanceOf(AttemptEnd.Broken.class);
    }

    @Test
    void isBrokenWhenConnectionClosesMidStream() {
      RecordingListener listener =
          runGenerate(
              (socket, request) -> {
                ScriptedServer.write(socket, chunkedHead() + chunk(line("a-1", 0, 1, "one")));
                socket.close();
              });
      assertThat(listener.awaitEnd()).isInstanceOf(AttemptEnd.Broken.class);
    }

    @Test
    void isInvalidWhenStreamEchoesAnotherAttempt() {
      RecordingListener listener = runGenerate(stream(line("a-0", 0, 2, "one two")));
      assertThat(listener.awaitEnd()).isInstanceOf(AttemptEnd.Invalid.class);
      assertThat(listener.events()).containsExactly("sending", "end");
    }

    @Test
    void isInvalidWhenTokensAreMissing() {
      RecordingListener listener =
          runGenerate(stream(line("a-1", 0, 1, "one"), line("a-1", 2, 1, "three")));
      assertThat(listener.awaitEnd()).isInstanceOf(AttemptEnd.Invalid.class);
    }

    @Test
    void isInvalidWhenTokensAreRepeated() {
      RecordingListener listener =
          runGenerate(stream(line("a-1", 0, 1, "one"), line("a-1", 0, 1, "one")));
      assertThat(listener.awaitEnd()).isInstanceOf(AttemptEnd.Invalid.class);
    }

    @Test
    void isInvalidWhenEndMarkerCountsMoreTokensThanReceived() {
      RecordingListener listener =
          runGenerate(stream(line("a-1", 0, 1, "one"), endMarker("a-1", 2)));
      assertThat(listener.awaitEnd()).isInstanceOf(AttemptEnd.Invalid.class);
    }

    @Test
    void isInvalidWhenLineIsNotJson() {
      RecordingListener listener = runGenerate(stream("garbage\n"));
      assertThat(listener.awaitEnd()).isInstanceOf(AttemptEnd.Invalid.class);
    }
  }

  @Nested
  class Rejections {
    @Test
    void isRejectedWhenServerReportsNotRun() {
      RecordingListener listener =
          runGenerate(respond("503 Service Unavailable", "{\"notRun\":true,\"draining\":true}"));
      AttemptEnd end = listener.awaitEnd();
      assertThat(end).isEqualTo(new AttemptEnd.Rejected("no reason given", true, Optional.empty()));
    }

    @Test
    void isFailedWhenUnavailableServerDoesNotReportNotRun() {
      RecordingListener listener = runGenerate(respond("503 Service Unavailable", "oops"));
      assertThat(listener.awaitEnd()).isInstanceOf(AttemptEnd.Failed.class);
    }
  }

  @Nested
  class Calls {
    @Test
    void passesBodyOnWhenAttemptHeaderMatches() {
      RecordingListener listener =
          runCall(
              (socket, request) ->
                  ScriptedServer.write(
                      socket, "HTTP/1.1 200 OK\r\nAttempt: a-1\r\nContent-Length: 2\r\n\r\nok"));
      assertThat(listener.awaitEnd()).isInstanceOf(AttemptEnd.Finished.class);
      assertThat(listener.events()).containsExactly("sending", "0:ok", "end").inOrder();
    }

    @Test
    void passesOnClientErrorOfTheService() {
      RecordingListener listener =
          runCall(
              (socket, request) ->
                  ScriptedServer.write(
                      socket,
                      "HTTP/1.1 404 Not Found\r\nAttempt: a-1\r\nContent-Length: 2\r\n\r\nno"));
      AttemptEnd end = listener.awaitEnd();
      assertThat(end).isInstanceOf(AttemptEnd.Finished.class);
      assertThat(((AttemptEnd.Finished) end).response().status().code()).isEqualTo(404);
    }

    @Test
    void isInvalidWithoutAttemptHeader() {
      RecordingListener listener = runCall(respond("200 OK", "ok"));
      assertThat(listener.awaitEnd()).isInstanceOf(AttemptEnd.Invalid.class);
    }

    @Test
    void isBrokenWhenBodyIsShorterThanDeclared() {
      RecordingListener listener =
          runCall(
              (socket, request) -> {
                ScriptedServer.write(
                    socket, "HTTP/1.1 200 OK\r\nAttempt: a-1\r\nContent-Length: 9\r\n\r\nok");
                socket.close();
              });
      assertThat(listener.awaitEnd()).isInstanceOf(AttemptEnd.Broken.class);
    }
  }

  /** A server stops in the middle of its response, at each byte of it, and closes. */
  @Nested
  class CutResponses {
    private void assertNoPartFinishes(
        String response, Function<BiConsumer<NetSocket, String>, RecordingListener> run) {
      for (int i = 0; i < response.length(); i++) {
        String part = response.substring(0, i);
        RecordingListener listener =
            run.apply(
                (socket, request) -> {
                  ScriptedServer.write(socket, part);
                  socket.end();
                });
        assertWithMessage("part: %s", part)
            .that(listener.awaitEnd())
            .isNotInstanceOf(AttemptEnd.Finished.class);
      }
    }

    @Test
    void ofPlainServicesAreNeverFinished() {
      assertNoPartFinishes(
          "HTTP/1.1 404 Not Found\r\nAttempt: a-1\r\nContent-Length: 2\r\n\r\nno",
          HttpBackendTransportTest.this::runCall);
    }

    @Test
    void ofEnginesAreNeverFinished() {
      String body = line("a-1", 0, 2, "one two") + endMarker("a-1", 2);
      String beforeLineEnd = chunkedHead() + chunk(body);
      assertNoPartFinishes(
          beforeLineEnd.substring(0, beforeLineEnd.length() - "\n\r\n".length()),
          HttpBackendTransportTest.this::runGenerate);
    }
  }

  @Nested
  class FullRingBuffer {
    @Test
    void deliversAllEventsInOrder() {
      AtomicInteger offers = new AtomicInteger();
      Duty acceptsEveryThird = task -> offers.incrementAndGet() % 3 == 0 && DIRECT.offer(task);
      try (ScriptedServer server =
          ScriptedServer.start(
              vertx, stream(line("a-1", 0, 1, "a"), line("a-1", 1, 1, "b"), endMarker("a-1", 2)))) {
        RecordingListener listener = run(server.address(), acceptsEveryThird, generate());
        listener.awaitEnd();
        assertThat(listener.events()).containsExactly("sending", "0:a", "1:b", "end").inOrder();
      }
    }
  }

  private RecordingListener runGenerate(BiConsumer<NetSocket, String> script) {
    try (ScriptedServer server = ScriptedServer.start(vertx, script)) {
      RecordingListener listener = run(server.address(), DIRECT, generate());
      listener.awaitEnd();
      return listener;
    }
  }

  private RecordingListener runCall(BiConsumer<NetSocket, String> script) {
    Payload call = new Payload.Call("/v1/call", "text/plain", new byte[] {1});
    try (ScriptedServer server = ScriptedServer.start(vertx, script)) {
      RecordingListener listener = run(server.address(), DIRECT, call);
      listener.awaitEnd();
      return listener;
    }
  }

  private RecordingListener run(BackendServer server, Duty duty, Payload payload) {
    RecordingListener listener = new RecordingListener();
    HttpBackendTransport transport =
        HttpBackendTransport.create(vertx, FramedHttpClients.on(vertx), duty);
    transport.start(server, ATTEMPT, work(payload), 0, "", listener);
    return listener;
  }

  private static Payload generate() {
    return new Payload.Generate("prompt", 8, 1);
  }

  private static Work work(Payload payload) {
    return Work.builder()
        .id(RequestId.of(EntryVmId.of("vm"), Incarnation.of("i"), 1))
        .workClass(WorkClassId.of("lookup"))
        .pool(PoolId.of("coding"))
        .priority(Priority.INTERACTIVE)
        .payload(payload)
        .deadlineNanos(Duration.ofSeconds(5).toNanos())
        .build();
  }

  private static BiConsumer<NetSocket, String> stream(String... lines) {
    return (socket, request) -> {
      StringBuilder response = new StringBuilder(chunkedHead());
      for (String line : lines) {
        response.append(chunk(line));
      }
      ScriptedServer.write(socket, response + "0\r\n\r\n");
    };
  }

  private static BiConsumer<NetSocket, String> respond(String status, String body) {
    return (socket, request) ->
        ScriptedServer.write(
            socket,
            "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
  }

  private static String chunkedHead() {
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  }

  private static String chunk(String data) {
    return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
  }

  private static String line(String attempt, long offset, int tokens, String text) {
    return String.format(
        "{\"attempt\":\"%s\",\"offset\":%d,\"tokens\":%d,\"text\":\"%s\",\"version\":7,"
            + "\"incarnation\":\"e1\"}%n",
        attempt, offset, tokens, text);
  }

  private static String endMarker(String attempt, int tokens) {
    return String.format(
        "{\"attempt\":\"%s\",\"end\":true,\"tokens\":%d,\"finishReason\":\"stop\"}%n",
        attempt, tokens);
  }
}
