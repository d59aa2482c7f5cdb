package org.amaranthstream.ingress;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.US_ASCII;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Bytes on a caller's connection that are not exactly requests. */
class StrictFramingTest {
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final String HEAD =
      "POST /cut HTTP/1.1\r\nHost: h\r\nX-Id: first\r\nContent-Length: 0\r\n\r\n";
  private static final String NEXT =
      "POST /next HTTP/1.1\r\nHost: h\r\nX-Id: second\r\nConnection: close\r\n"
          + "Content-Length: 0\r\n\r\n";

  private final Vertx vertx = Vertx.vertx();
  private final List<String> paths = Collections.synchronizedList(new ArrayList<>());
  private HttpServer server;

  @BeforeEach
  void start() {
    HttpServerOptions options = new HttpServerOptions().setHttp2ClearTextEnabled(false);
    server =
        vertx
            .createHttpServer(options)
            .connectionHandler(
                connection ->
                    StrictFraming.apply(connection, options, RequestFlow.builder().build()))
            .requestHandler(this::onRequest);
    server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
  }

  @AfterEach
  void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private void onRequest(HttpServerRequest request) {
    paths.add(request.path());
    request.response().end("ran");
  }

  /** Sends bytes and returns everything up to the end of the connection. */
  private String send(String bytes) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", server.actualPort())) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.getOutputStream().write(bytes.getBytes(US_ASCII));
      return new String(socket.getInputStream().readAllBytes(), US_ASCII);
    }
  }

  @Test
  void requestsFollowEachOther() throws IOException {
    send(HEAD + NEXT);

    assertThat(paths).containsExactly("/cut", "/next").inOrder();
  }

  /** A balancer reuses a connection on which a caller stopped within a request. */
  @Test
  void restOfRequestIsNotReadAsPartOfTheNext() throws IOException {
    for (int length = HEAD.indexOf('/') + 1; length < HEAD.length(); length++) {
      String bytes = HEAD.substring(0, length) + NEXT;
      String response = send(bytes);
      assertWithMessage(bytes).that(paths).isEmpty();
      assertWithMessage(bytes).that(response).contains(" 400 Bad Request");
    }
  }

  @Test
  void nothingIsReadBehindAnInvalidHead() throws IOException {
    String response = send("GET /a HTTP/1.1\r\nX: GET /b HTTP/1.1\r\n\r\n" + NEXT);

    assertThat(response).contains(" 400 Bad Request");
    assertThat(response.split("HTTP/1.", -1)).hasLength(2);
    assertThat(paths).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Referer: http://h/GET /x",
        "X-Note: HTTP/1.1",
        "Via: 1.1 proxy",
        "X-Note: get /x HTTP/1.1 or not"
      })
  void ordinaryHeadersAreAccepted(String header) throws IOException {
    String response = send("GET /a HTTP/1.1\r\nConnection: close\r\n" + header + "\r\n\r\n");

    assertThat(response).startsWith("HTTP/1.1 200");
  }
}
