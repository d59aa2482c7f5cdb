package org.amaranthstream.ingress;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.routing.RequestLimits;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Which of too many connections is closed. */
class OpenConnectionsTest {
  private static final String UNANSWERED = "GET /unanswered HTTP/1.1\r\n\r\n";

  /** The requests that have arrived and are not answered. */
  private final Semaphore unanswered = new Semaphore(0);

  private final OpenConnections connections =
      OpenConnections.create(VirtualTimerService.create(), RequestLimits::defaults, 2);
  private final AcceptingServer server =
      AcceptingServer.start(Vertx.vertx(), this::onConnected, this::onRequest);

  private void onConnected(HttpConnection connection) {
    RequestFlow flow =
        RequestFlow.builder()
            .onResponseWritten(() -> connections.onResponseWritten(connection))
            .build();
    StrictFraming.apply(connection, AcceptingServer.OPTIONS, flow);
    connections.watch(connection);
  }

  private void onRequest(HttpServerRequest request) {
    connections.onHeadEnd(request.connection());
    request.response().endHandler(unused -> connections.onResponseEnd(request.connection()));
    if (request.path().equals("/unanswered")) {
      unanswered.release();
    } else {
      request.response().end("ok");
    }
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
  }

  @Test
  void theOneThatHasWaitedLongestWithoutRequestIsDisplaced() throws Exception {
    Socket first = server.connect();
    assertThat(AcceptingServer.isServed(first)).isTrue();
    Socket second = server.connect();
    assertThat(AcceptingServer.isServed(second)).isTrue();
    assertThat(AcceptingServer.isServed(first)).isTrue();

    Socket third = server.connect();
    assertThat(AcceptingServer.isServed(third)).isTrue();
    assertThat(AcceptingServer.isClosedByServer(second)).isTrue();
    assertThat(AcceptingServer.isServed(first)).isTrue();
  }

  @Test
  void thoseWithRequestsAreNotDisplaced() throws Exception {
    Socket first = server.connect();
    assertThat(AcceptingServer.isServed(first)).isTrue();
    first.getOutputStream().write(UNANSWERED.getBytes());
    Socket second = server.connect();
    assertThat(AcceptingServer.isServed(second)).isTrue();
    second.getOutputStream().write(UNANSWERED.getBytes());
    assertThat(unanswered.tryAcquire(2, 10, TimeUnit.SECONDS)).isTrue();

    assertThat(AcceptingServer.isClosedByServer(server.connect())).isTrue();
  }
}
