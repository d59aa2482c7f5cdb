package org.amaranthstream.dispatch.http;

import static com.google.common.truth.Truth.assertWithMessage;
import static org.amaranthstream.http.ScriptedTcpServer.attemptOf;
import static org.amaranthstream.http.ScriptedTcpServer.response;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;
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

/**
 * Attempts, one after another, at a server that answers by a random script: late copies of earlier
 * responses, two copies at once, responses without an id or with a wrong one, incomplete ones. What
 * an attempt ends with is what the server answered to that attempt, or an unknown outcome.
 */
class HttpResponseScriptsPropertyTest {
  private static final Vertx VERTX = Vertx.vertx();

  /** Event loop of all attempts: one that starts after another finds its connection idle. */
  private static final Context CONTEXT = VERTX.getOrCreateContext();

  private static final Payload CALL = new Payload.Call("/v1/call", "text/plain", new byte[] {1});

  /** What the server does with a request. */
  private enum Outcome {
    RUN("200 OK", ""),
    REJECTED("503 Service Unavailable", "Not-Run: true\r\n"),
    FAILED("500 Failed", "");

    private final String status;
    private final String headers;

    Outcome(String status, String headers) {
      this.status = status;
      this.headers = headers;
    }
  }

  /** The attempt that a response names. */
  private enum Echo {
    OWN,
    NONE,
    WRONG
  }

  /** How a response arrives. */
  private enum Delivery {
    ONCE,
    TWICE,
    AFTER_LATE_COPY,
    HALF
  }

  /** The answer to one attempt. */
  private record Answer(Outcome outcome, Echo echo, Delivery delivery) {
    private String respond(String request, String lastWritten) {
      String id = attemptOf(request);
      String own = response(outcome.status, header(id) + outcome.headers, id);
      return switch (delivery) {
        case ONCE -> own;
        case TWICE -> own + own;
        case AFTER_LATE_COPY -> lastWritten + own;
        case HALF -> ScriptedTcpServer.thenClose(own.substring(0, own.length() - 1));
      };
    }

    private String header(String id) {
      return switch (echo) {
        case OWN -> "Attempt: " + id + "\r\n";
        case NONE -> "";
        case WRONG -> "Attempt: other\r\n";
      };
    }

    private boolean isClean() {
      return echo == Echo.OWN && delivery == Delivery.ONCE;
    }

    private boolean allows(AttemptEnd end, String text, String id) {
      if (end instanceof AttemptEnd.Finished) {
        return outcome == Outcome.RUN && text.equals(id);
      }
      if (end instanceof AttemptEnd.Rejected) {
        return outcome == Outcome.REJECTED;
      }
      if (end instanceof AttemptEnd.Failed) {
        return outcome == Outcome.FAILED;
      }
      return !(end instanceof AttemptEnd.NotSent);
    }
  }

  @AfterContainer
  static void closeVertx() {
    ScriptedServer.await(VERTX.close());
  }

  @Provide
  static Arbitrary<List<Answer>> scripts() {
    return Combinators.combine(
            Arbitraries.of(Outcome.class),
            Arbitraries.of(Echo.OWN, Echo.OWN, Echo.OWN, Echo.NONE, Echo.WRONG),
            Arbitraries.of(Delivery.class))
        .as(Answer::new)
        .list()
        .ofMinSize(2)
        .ofMaxSize(8);
  }

  @Property(tries = 500, seed = "20261205")
  void attemptsEndWithTheirOwnResponseOnly(@ForAll("scripts") List<Answer> script) {
    HttpBackendTransport transport =
        HttpBackendTransport.create(
            VERTX,
            FramedHttpClients.on(VERTX),
            task -> {
              task.run();
              return true;
            });
    try (ScriptedTcpServer server = start(script)) {
      boolean wasClean = true;
      for (int i = 0; i < script.size(); i++) {
        Answer answer = script.get(i);
        RecordingListener listener = run(transport, server, "a-" + i);
        AttemptEnd end = listener.awaitEnd();
        String text = textOf(listener);
        assertWithMessage("attempt %s of %s ended with %s", i, script, end)
            .that(answer.allows(end, text, "a-" + i))
            .isTrue();
        wasClean = wasClean && answer.isClean();
        assertWithMessage("attempt %s of %s ended with %s", i, script, end)
            .that(wasClean && isOutcomeUnknown(end))
            .isFalse();
      }
    } finally {
      transport.close();
    }
  }

  /**
   * Starts a server that answers attempt n by entry n of the script. A request that its client gave
   * up before the server received it takes no entry of another.
   */
  private static ScriptedTcpServer start(List<Answer> script) {
    ScriptedTcpServer.Step byAttempt =
        (request, lastWritten) -> {
          int index = Integer.parseInt(attemptOf(request).substring("a-".length()));
          return script.get(index).respond(request, lastWritten);
        };
    return ScriptedTcpServer.start(
        VERTX,
        Collections.nCopies(script.size(), byAttempt).toArray(new ScriptedTcpServer.Step[0]));
  }

  private static boolean isOutcomeUnknown(AttemptEnd end) {
    return end instanceof AttemptEnd.Broken || end instanceof AttemptEnd.Invalid;
  }

  private static String textOf(RecordingListener listener) {
    return listener.events().stream()
        .filter(event -> event.startsWith("0:"))
        .map(event -> event.substring("0:".length()))
        .findFirst()
        .orElse("");
  }

  private static RecordingListener run(
      HttpBackendTransport transport, ScriptedTcpServer server, String id) {
    RecordingListener listener = new RecordingListener();
    CONTEXT.runOnContext(
        unused ->
            transport.start(
                ScriptedServer.address(server.port()), AttemptId.of(id), work(), 0, "", listener));
    listener.awaitEnd();
    return listener;
  }

  private static Work work() {
    return Work.builder()
        .id(RequestId.of(EntryVmId.of("vm"), Incarnation.of("i"), 1))
        .workClass(WorkClassId.of("lookup"))
        .pool(PoolId.of("coding"))
        .priority(Priority.INTERACTIVE)
        .payload(CALL)
        .deadlineNanos(Duration.ofSeconds(5).toNanos())
        .build();
  }
}
