package org.amaranthstream.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.amaranthstream.http.ScriptedTcpServer.answer;
import static org.amaranthstream.http.ScriptedTcpServer.response;

import com.google.common.collect.ImmutableList;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.http.CutAnswers;
import org.amaranthstream.http.FramedHttpClients;
import org.amaranthstream.http.ScriptedTcpServer;
import org.amaranthstream.http.ScriptedTcpServer.Step;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.result.Result;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Load reports of a server that answers a request twice, or late. */
class HttpLoadSourceTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final String SHORTEST_REQUEST = "\r\nAttempt: load-1\r\n";

  private final Vertx vertx = Vertx.vertx();

  /** Event loop of all requests: one that starts after another finds its connection idle. */
  private final Context context = vertx.getOrCreateContext();

  private final HttpLoadSource source =
      HttpLoadSource.create(FramedHttpClients.on(vertx), VirtualTimerService.create(), TIMEOUT);

  @AfterEach
  void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private Result<LoadReport> poll(ScriptedTcpServer server) {
    BackendServer polled =
        new BackendServer(
            BackendServerId.of("engine-1"),
            PoolId.of("coding"),
            RegionId.of("lisboa"),
            AvailabilityZoneId.of("lisboa-a"),
            ScriptedTcpServer.HOST,
            server.port());
    CompletableFuture<Result<LoadReport>> report = new CompletableFuture<>();
    context.runOnContext(unused -> source.poll(polled).thenAccept(report::complete));
    return report.orTimeout(10, TimeUnit.SECONDS).join();
  }

  private int running(ScriptedTcpServer server) {
    return ((Result.Success<LoadReport>) poll(server)).value().running();
  }

  private static String report(String headers, int running) {
    return response(
        "200 OK",
        headers,
        "{\"incarnation\":\"i\",\"running\":" + running + ",\"queued\":0,\"slots\":9}");
  }

  private static Step echo(int running) {
    return (request, lastWritten) -> report(attemptHeader(request), running);
  }

  private static Step lateCopyThenEcho(int running) {
    return (request, lastWritten) -> lastWritten + report(attemptHeader(request), running);
  }

  private static String attemptHeader(String request) {
    return "Attempt: " + ScriptedTcpServer.attemptOf(request) + "\r\n";
  }

  @Nested
  class WithEcho {
    @Test
    void connectionIsReused() {
      try (ScriptedTcpServer server = ScriptedTcpServer.start(vertx, echo(1), echo(2))) {
        assertThat(running(server)).isEqualTo(1);
        assertThat(running(server)).isEqualTo(2);
        assertThat(server.connectionsOfRequests()).containsExactly(0, 0);
      }
    }

    @Test
    void lateReportIsNotBelievedAndClosesTheConnection() {
      try (ScriptedTcpServer server =
          ScriptedTcpServer.start(vertx, echo(1), lateCopyThenEcho(2), echo(3))) {
        assertThat(running(server)).isEqualTo(1);
        assertThat(poll(server)).isInstanceOf(Result.Failure.class);
        assertThat(running(server)).isEqualTo(3);
        assertThat(server.connectionsOfRequests()).containsExactly(0, 0, 1).inOrder();
      }
    }
  }

  /** Servers of an earlier version, which do not repeat the header. */
  @Nested
  class WithoutEcho {
    @Test
    void eachReportHasItsOwnConnection() {
      try (ScriptedTcpServer server =
          ScriptedTcpServer.start(
              vertx, answer(report("", 1) + report("", 1)), answer(report("", 2)))) {
        assertThat(running(server)).isEqualTo(1);
        assertThat(running(server)).isEqualTo(2);
        assertThat(server.connectionsOfRequests()).containsExactly(0, 1).inOrder();
      }
    }
  }

  @Test
  void responseWithAnErrorClosesTheConnection() {
    try (ScriptedTcpServer server =
        ScriptedTcpServer.start(
            vertx,
            (request, lastWritten) -> response("500 Failed", attemptHeader(request), ""),
            echo(1))) {
      assertThat(poll(server)).isInstanceOf(Result.Failure.class);
      assertThat(running(server)).isEqualTo(1);
      assertThat(server.connectionsOfRequests()).containsExactly(0, 1).inOrder();
    }
  }

  /** The status of a report whose copy broke off hides the error of the next request. */
  @Test
  void reportThatBreaksOffBeforeAnErrorIsNotBelieved() {
    ImmutableList<String> cuts = CutAnswers.cutInHead(report(attemptHeader(SHORTEST_REQUEST), 1));
    List<Step> steps = new ArrayList<>();
    for (String cut : cuts) {
      steps.add(echo(1));
      steps.add(
          (request, lastWritten) ->
              lastWritten.substring(0, cut.length()) + errorWithReport(attemptHeader(request)));
    }
    try (ScriptedTcpServer server = ScriptedTcpServer.start(vertx, steps.toArray(Step[]::new))) {
      for (String cut : cuts) {
        assertThat(running(server)).isEqualTo(1);
        assertWithMessage(cut).that(poll(server)).isInstanceOf(Result.Failure.class);
      }
    }
  }

  private static String errorWithReport(String headers) {
    return report(headers, 2).replace("200 OK", "500 Failed");
  }
}
