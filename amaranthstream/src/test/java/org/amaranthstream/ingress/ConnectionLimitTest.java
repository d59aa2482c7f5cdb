package org.amaranthstream.ingress;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Vertx;
import java.net.Socket;
import org.junit.jupiter.api.Test;

/** Guards against clients that open connections until a server has no descriptors left. */
class ConnectionLimitTest {
  @Test
  void furtherConnectionIsClosedAndTheOthersAreServed() throws Exception {
    ConnectionLimit limit = ConnectionLimit.of(2);
    try (AcceptingServer server =
        AcceptingServer.start(
            Vertx.vertx(), limit::tryAdd, request -> request.response().end("ok"))) {
      Socket first = server.connect();
      Socket second = server.connect();
      assertThat(AcceptingServer.isServed(first)).isTrue();
      assertThat(AcceptingServer.isServed(second)).isTrue();

      assertThat(AcceptingServer.isClosedByServer(server.connect())).isTrue();
      assertThat(AcceptingServer.isServed(first)).isTrue();
    }
  }
}
