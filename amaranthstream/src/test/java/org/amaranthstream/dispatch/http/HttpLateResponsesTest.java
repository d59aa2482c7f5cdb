package org.amaranthstream.dispatch.http;

import static com.google.common.truth.Truth.assertThat;
import static org.amaranthstream.http.ScriptedTcpServer.answer;
import static org.amaranthstream.http.ScriptedTcpServer.answerTwice;
import static org.amaranthstream.http.ScriptedTcpServer.lateCopyThen;
import static org.amaranthstream.http.ScriptedTcpServer.response;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.admission.Priority;
import org.amaranthstream.dispatch.AttemptEnd;
import org.amaranthstream.dispatch.Payload;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.http.FramedHttpClients;
import org.amaranthstream.http.ScriptedTcpServer;
import org.amaranthstream.ids.AttemptId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.ids.WorkClassId;
import org.amaranthstream.ring.Duty;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Responses of an earlier attempt that arrive where the response to the next attempt on the same
 * connection is expected.
 */
class HttpLateResponsesTest {
  private static final String NOT_RUN = "503 Service Unavailable";
  private static final Duty DIRECT =
      task -> {
        task.run();
        return true;
      };

  private final Payload call = new Payload.Call("/v1/call", "text/plain", new byte[] {1});
  private final Payload generate = new Payload.Generate("prompt", 8, 1);
  private Vertx vertx;
  private HttpBackendTransport transport;

  /** Event loop of all attempts: one that starts after another finds its connection idle. */
  private Context context;

  @BeforeEach
  void createTransport() {
    vertx = Vertx.vertx();
    context = vertx.getOrCreateContext();
    transport = HttpBackendTransport.create(vertx, FramedHttpClients.on(vertx), DIRECT);
  }

  @AfterEach
  void closeVertx() {
    ScriptedServer.await(vertx.close());
  }

  private AttemptEnd run(ScriptedTcpServer server, String id, Payload payload) {
    return record(server, id, payload).awaitEnd();
  }

  private RecordingListener record(ScriptedTcpServer server, String id, Payload payload) {
    RecordingListener listener = new RecordingListener();
    context.runOnContext(unused -> start(server, id, payload, listener));
    listener.awaitEnd();
    return listener;
  }

  private HttpBackendTransport.Attempt start(
      ScriptedTcpServer server, String id, Payload payload, RecordingListener listener) {
    return transport.start(
        ScriptedServer.address(server.port()), AttemptId.of(id), work(payload), 0, "", listener);
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

  private static String attempt(String id) {
    return "Attempt: " + id + "\r\n";
  }

  private static String rejectedCall(String attemptHeader) {
    return response(NOT_RUN, attemptHeader + "Not-Run: true\r\n", "");
  }

  private static String rejectedGenerate(String attemptHeader) {
    return response(NOT_RUN, attemptHeader, "{\"notRun\":true,\"reason\":\"full\"}");
  }

  private static String completed(String id) {
    return response("200 OK", attempt(id), id);
  }

  @Nested
  class OfPlainServices {
    @Test
    void rejectionOfAnotherAttemptIsNotBelieved() {
      try (ScriptedTcpServer server =
          ScriptedTcpServer.start(
              vertx, answer(rejectedCall(attempt("a"))), lateCopyThen(completed("b")))) {
        assertThat(run(server, "a", call)).isInstanceOf(AttemptEnd.Rejected.class);
        assertThat(run(server, "b", call)).isInstanceOf(AttemptEnd.Invalid.class);
        assertThat(server.connectionsOfRequests()).containsExactly(0, 0);
      }
    }

    @Test
    void errorOfAnotherAttemptIsNotBelieved() {
      try (ScriptedTcpServer server =
          ScriptedTcpServer.start(
              vertx,
              answer(response("500 Failed", attempt("a"), "")),
              lateCopyThen(completed("b")))) {
        assertThat(run(server, "a", call)).isInstanceOf(AttemptEnd.Failed.class);
        assertThat(run(server, "b", call)).isInstanceOf(AttemptEnd.Invalid.class);
      }
    }

    @Test
    void resultOfAnotherAttemptIsNotPassedOn() {
      try (ScriptedTcpServer server =
          ScriptedTcpServer.start(vertx, answer(completed("a")), lateCopyThen(completed("b")))) {
        assertThat(run(server, "a", call)).isInstanceOf(AttemptEnd.Finished.class);
        RecordingListener second = record(server, "b", call);
        assertThat(second.awaitEnd()).isInstanceOf(AttemptEnd.Invalid.class);
        assertThat(second.events()).containsExactly("sending", "end");
      }
    }

    @Test
    void theNextAttemptAfterAnotherAttemptsResponseUsesAnotherConnection() {
      try (ScriptedTcpServer server =
          ScriptedTcpServer.start(
              vertx,
              answer(completed("a")),
              lateCopyThen(completed("b")),
              answer(completed("c")))) {
        run(server, "a", call);
        run(server, "b", call);
        assertThat(run(server, "c", call)).isInstanceOf(AttemptEnd.Finished.class);
        assertThat(server.connectionsOfRequests()).containsExactly(0, 0, 1).inOrder();
      }
    }

    @Test
    void secondCopyInTheSameSegmentReachesNoOtherAttempt() {
      try (ScriptedTcpServer server =
          ScriptedTcpServer.start(
              vertx, answerTwice(rejectedCall(attempt("a"))), answer(completed("b")))) {
        assertThat(run(server, "a", call)).isInstanceOf(AttemptEnd.Rejected.class);
        assertThat(run(server, "b", call)).isNotInstanceOf(AttemptEnd.Rejected.class);
      }
    }

    @Test
    void copyOnIdleConnectionClosesIt() {
      try (ScriptedTcpServer server =
          ScriptedTcpServer.start(
              vertx, answer(rejectedCall(attempt("a"))), answer(completed("b")))) {
        assertThat(run(server, "a", call)).isInstanceOf(AttemptEnd.Rejected.class);
        server.writeUntilClosed(0, rejectedCall(attempt("a")));
        assertThat(run(server, "b", call)).isInstanceOf(AttemptEnd.Finished.class);
        assertThat(server.connectionsOfRequests()).containsExactly(0, 1).inOrder();
      }
    }
  }

  /** Servers of an earlier version, whose rejections and errors echo no attempt. */
  @Nested
  class WithoutEcho {
    @Test
    void rejectionIsBelievedOnlyAsTheFirstResponseOfItsConnection() {
      try (ScriptedTcpServer server =
          ScriptedTcpServer.start(
              vertx,
              answer(rejectedCall("")),
              answer(rejectedCall("")),
              answer(completed("c")),
              answer(rejectedCall("")))) {
        assertThat(run(server, "a", call)).isInstanceOf(AttemptEnd.Rejected.class);
        assertThat(run(server, "b", call)).isInstanceOf(AttemptEnd.Rejected.class);
        assertThat(run(server, "c", call)).isInstanceOf(AttemptEnd.Finished.class);
        assertThat(run(server, "d", call)).isInstanceOf(AttemptEnd.Invalid.class);
        assertThat(server.connectionsOfRequests()).containsExactly(0, 1, 2, 2).inOrder();
      }
    }

    @Test
    void lateRejectionFindsItsConnectionClosed() {
      try (ScriptedTcpServer server =
          ScriptedTcpServer.start(vertx, answer(rejectedCall("")), lateCopyThen(completed("b")))) {
        assertThat(run(server, "a", call)).isInstanceOf(AttemptEnd.Rejected.class);
        assertThat(run(server, "b", call)).isInstanceOf(AttemptEnd.Finished.class);
      }
    }

    @Test
    void lateRejectionOfAnEngineFindsItsConnectionClosed() {
      try (ScriptedTcpServer server =
          ScriptedTcpServer.start(vertx, answer(rejectedGenerate("")), lateCopyThen(stream("b")))) {
        assertThat(run(server, "a", generate)).isInstanceOf(AttemptEnd.Rejected.class);
        assertThat(run(server, "b", generate)).isInstanceOf(AttemptEnd.Finished.class);
      }
    }
  }

  @Nested
  class OfEngines {
    @Test
    void rejectionOfAnotherAttemptIsNotBelieved() {
      try (ScriptedTcpServer server =
          ScriptedTcpServer.start(
              vertx, answer(rejectedGenerate(attempt("a"))), lateCopyThen(stream("b")))) {
        assertThat(run(server, "a", generate))
            .isEqualTo(new AttemptEnd.Rejected("full", false, Optional.empty()));
        assertThat(run(server, "b", generate)).isInstanceOf(AttemptEnd.Invalid.class);
      }
    }

    @Test
    void errorOfAnotherAttemptIsNotBelieved() {
      try (ScriptedTcpServer server =
          ScriptedTcpServer.start(
              vertx,
              answer(response("500 Failed", attempt("a"), "{}")),
              lateCopyThen(stream("b")))) {
        assertThat(run(server, "a", generate)).isInstanceOf(AttemptEnd.Failed.class);
        assertThat(run(server, "b", generate)).isInstanceOf(AttemptEnd.Invalid.class);
      }
    }

    @Test
    void streamOfAnotherAttemptIsNotPassedOn() {
      try (ScriptedTcpServer server =
          ScriptedTcpServer.start(vertx, answer(stream("a")), lateCopyThen(stream("b")))) {
        assertThat(run(server, "a", generate)).isInstanceOf(AttemptEnd.Finished.class);
        RecordingListener second = record(server, "b", generate);
        assertThat(second.awaitEnd()).isInstanceOf(AttemptEnd.Invalid.class);
        assertThat(second.events()).containsExactly("sending", "end");
      }
    }

    @Test
    void streamWithoutEndMarkerClosesItsConnection() {
      try (ScriptedTcpServer server =
          ScriptedTcpServer.start(vertx, answer(response("200 OK", "", "")), answer(stream("b")))) {
        assertThat(run(server, "a", generate)).isInstanceOf(AttemptEnd.Broken.class);
        assertThat(run(server, "b", generate)).isInstanceOf(AttemptEnd.Finished.class);
        assertThat(server.connectionsOfRequests()).containsExactly(0, 1).inOrder();
      }
    }
  }

  @Nested
  class Cancellations {
    @Test
    void lateResponseToCancellationReachesNoAttempt() {
      // The response to the generate request stays away until the attempt is cancelled.
      try (ScriptedTcpServer server =
          ScriptedTcpServer.start(
              vertx, answer(""), answer(response("200 OK", "", "{}")), lateCopyThen(stream("b")))) {
        RecordingListener first = new RecordingListener();
        HttpBackendTransport.Attempt attempt = start(server, "a", generate, first);
        server.awaitRequests(1);
        attempt.cancel();
        server.awaitRequests(2);
        assertThat(run(server, "b", generate)).isInstanceOf(AttemptEnd.Finished.class);
        assertThat(server.connectionsOfRequests()).containsExactly(0, 1, 2).inOrder();
      }
    }
  }

  private static String stream(String id) {
    String line =
        String.format(
            "{\"attempt\":\"%s\",\"offset\":0,\"tokens\":1,\"text\":\"t\",\"version\":7,"
                + "\"incarnation\":\"e1\"}%n",
            id);
    String end =
        String.format(
            "{\"attempt\":\"%s\",\"end\":true,\"tokens\":1,\"finishReason\":\"stop\"}%n", id);
    return response("200 OK", "", line + end);
  }
}
