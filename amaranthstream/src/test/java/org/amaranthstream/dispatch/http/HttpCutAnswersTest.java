package org.amaranthstream.dispatch.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.amaranthstream.http.ScriptedTcpServer.answer;
import static org.amaranthstream.http.ScriptedTcpServer.response;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.amaranthstream.admission.Priority;
import org.amaranthstream.dispatch.AttemptEnd;
import org.amaranthstream.dispatch.Payload;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.http.CutAnswers;
import org.amaranthstream.http.FramedHttpClients;
import org.amaranthstream.http.ScriptedTcpServer;
import org.amaranthstream.http.ScriptedTcpServer.Step;
import org.amaranthstream.ids.AttemptId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.ids.WorkClassId;
import org.amaranthstream.membership.BackendServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Servers that answer an attempt twice and stop within the second answer. Guards against a response
 * to the next attempt that is made of the rest and of the server's own answer.
 */
class HttpCutAnswersTest {
  /** More than the buffers of a connection take. */
  private static final int LONG_BODY_BYTES = 32 << 20;

  private final Payload call = new Payload.Call("/v1/call", "text/plain", new byte[] {1});
  private final Payload generate = new Payload.Generate("prompt", 8, 1);
  private final Vertx vertx = Vertx.vertx();
  private final HttpBackendTransport transport =
      HttpBackendTransport.create(
          vertx,
          FramedHttpClients.on(vertx),
          task -> {
            task.run();
            return true;
          });

  /** Event loop of all attempts: one that starts after another finds its connection idle. */
  private final Context context = vertx.getOrCreateContext();

  @AfterEach
  void closeVertx() {
    ScriptedServer.await(vertx.close());
  }

  private RecordingListener run(ScriptedTcpServer server, String id, Payload payload) {
    return run(ScriptedServer.address(server.port()), id, payload);
  }

  private RecordingListener run(BackendServer server, String id, Payload payload) {
    RecordingListener listener = new RecordingListener();
    context.runOnContext(
        unused -> transport.start(server, AttemptId.of(id), work(payload), 0, "", listener));
    listener.awaitEnd();
    return listener;
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

  /** Returns a step that answers the attempt that its request names. */
  private static Step own(Function<String, String> answer) {
    return (request, lastWritten) -> answer.apply(ScriptedTcpServer.attemptOf(request));
  }

  private static Step cutThenOwn(int length, Function<String, String> answer) {
    return (request, lastWritten) ->
        lastWritten.substring(0, length) + answer.apply(ScriptedTcpServer.attemptOf(request));
  }

  /**
   * Sends pairs of attempts, of which the second finds the first bytes of another answer to the
   * first in front of its own, and asserts that it is never taken to have ended like the first.
   */
  private void assertNextIsInvalid(
      Payload payload, Function<String, String> first, Function<String, String> next) {
    int cuts = CutAnswers.cutInHead(first.apply("a-00")).size();
    List<Step> steps = new ArrayList<>();
    for (int length = 1; length <= cuts; length++) {
      steps.add(own(first));
      steps.add(cutThenOwn(length, next));
    }
    try (ScriptedTcpServer server = ScriptedTcpServer.start(vertx, steps.toArray(Step[]::new))) {
      for (int length = 1; length <= cuts; length++) {
        run(server, String.format("a-%02d", length), payload);
        RecordingListener second = run(server, String.format("b-%02d", length), payload);
        assertWithMessage("%s bytes of %s", length, first.apply("a"))
            .that(second.awaitEnd())
            .isInstanceOf(AttemptEnd.Invalid.class);
        assertThat(second.events()).containsExactly("sending", "end").inOrder();
      }
    }
  }

  private static String attempt(String id) {
    return "Attempt: " + id + "\r\n";
  }

  private static String rejected(String id) {
    String headers = "Not-Run: true\r\nServer: s\r\n" + attempt(id);
    return response("503 Full", headers, "{\"notRun\":true,\"reason\":\"full\"}");
  }

  private static String failed(String id) {
    return response("500 Failed", attempt(id), "{}");
  }

  private static String completed(String id) {
    return response("200 OK", attempt(id), id);
  }

  private static String stream(String id) {
    String part = "{\"attempt\":\"%s\",\"offset\":0,\"tokens\":1,\"text\":\"t\"}%n";
    String end = "{\"attempt\":\"%s\",\"end\":true,\"tokens\":1,\"finishReason\":\"stop\"}%n";
    return response("200 OK", attempt(id), String.format(part, id) + String.format(end, id));
  }

  @Nested
  class OfPlainServices {
    @Test
    void successDoesNotHideFailure() {
      assertNextIsInvalid(call, HttpCutAnswersTest::completed, HttpCutAnswersTest::failed);
    }

    @Test
    void failureDoesNotHideSuccess() {
      assertNextIsInvalid(call, HttpCutAnswersTest::failed, HttpCutAnswersTest::completed);
    }

    /** The attempt would be repeated although it ran. */
    @Test
    void rejectionDoesNotHideSuccess() {
      assertNextIsInvalid(call, HttpCutAnswersTest::rejected, HttpCutAnswersTest::completed);
    }

    @Test
    void inTheSegmentOfTheFirstAnswerReachNoOtherAttempt() {
      try (ScriptedTcpServer server =
          ScriptedTcpServer.start(
              vertx, answer(completed("a") + "HTTP/1.1 200 O"), answer(failed("b")))) {
        assertThat(run(server, "a", call).awaitEnd()).isInstanceOf(AttemptEnd.Finished.class);
        assertThat(run(server, "b", call).awaitEnd()).isInstanceOf(AttemptEnd.Failed.class);
        assertThat(server.connectionsOfRequests()).containsExactly(0, 1).inOrder();
      }
    }

    @ParameterizedTest
    @ValueSource(strings = {"H", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nContent-Ty"})
    void onIdleConnectionCloseIt(String bytes) {
      try (ScriptedTcpServer server =
          ScriptedTcpServer.start(vertx, answer(completed("a")), answer(failed("b")))) {
        run(server, "a", call);
        server.writeUntilClosed(0, bytes);
        assertThat(run(server, "b", call).awaitEnd()).isInstanceOf(AttemptEnd.Failed.class);
        assertThat(server.connectionsOfRequests()).containsExactly(0, 1).inOrder();
      }
    }
  }

  /** A connection that the client closes shows no crash of its server. */
  @Test
  void beforeTheRequestIsWrittenShowNoCrash() {
    Payload longCall = new Payload.Call("/v1/call", "text/plain", new byte[LONG_BODY_BYTES]);
    BiConsumer<NetSocket, String> script =
        (socket, request) -> {
          socket.pause();
          ScriptedServer.write(socket, "HTTP/1.1 200 OKHTTP/1.1 500 Failed\r\n\r\n");
        };
    try (ScriptedServer server = ScriptedServer.start(vertx, script)) {
      RecordingListener listener = run(server.address(), "a", longCall);
      assertThat(listener.awaitEnd()).isInstanceOf(AttemptEnd.Invalid.class);
    }
  }

  @Nested
  class OfEngines {
    @Test
    void streamDoesNotHideFailure() {
      assertNextIsInvalid(generate, HttpCutAnswersTest::stream, HttpCutAnswersTest::failed);
    }

    @Test
    void failureDoesNotHideStream() {
      assertNextIsInvalid(generate, HttpCutAnswersTest::failed, HttpCutAnswersTest::stream);
    }

    @Test
    void rejectionDoesNotHideStream() {
      assertNextIsInvalid(generate, HttpCutAnswersTest::rejected, HttpCutAnswersTest::stream);
    }
  }
}
