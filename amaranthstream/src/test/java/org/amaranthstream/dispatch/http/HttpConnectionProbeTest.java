package org.amaranthstream.dispatch.http;

import static com.google.common.truth.Truth.assertThat;
import static org.amaranthstream.http.ScriptedTcpServer.answer;
import static org.amaranthstream.http.ScriptedTcpServer.answerTwice;
import static org.amaranthstream.http.ScriptedTcpServer.response;

import io.vertx.core.Vertx;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.http.ScriptedTcpServer;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpConnectionProbeTest {
  private final Vertx vertx = Vertx.vertx();
  private final HttpConnectionProbe probe =
      HttpConnectionProbe.create(
          vertx,
          task -> {
            task.run();
            return true;
          },
          VirtualTimerService.create());

  @AfterEach
  void close() {
    probe.close();
    ScriptedServer.await(vertx.close());
  }

  private boolean responds(ScriptedTcpServer server) {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    probe.probe(ScriptedServer.address(server.port()), result::complete);
    return result.orTimeout(10, TimeUnit.SECONDS).join();
  }

  @Test
  void secondResponseToOneProbeIsNotTakenForThatToTheNext() {
    try (ScriptedTcpServer server =
        ScriptedTcpServer.start(vertx, answerTwice(response("200 OK", "", "{}")), answer(""))) {
      assertThat(responds(server)).isTrue();
      assertThat(responds(server)).isFalse();
      assertThat(server.connectionsOfRequests()).containsExactly(0, 1).inOrder();
    }
  }

  /** A probe establishes that a server responds; what the response says does not matter. */
  @Test
  void answerThatBreaksOffBeforeAnotherCountsAsResponse() {
    String joined = "HTTP/1.1 500 Fail" + response("200 OK", "", "{}");
    try (ScriptedTcpServer server = ScriptedTcpServer.start(vertx, answer(joined))) {
      assertThat(responds(server)).isTrue();
    }
  }
}
