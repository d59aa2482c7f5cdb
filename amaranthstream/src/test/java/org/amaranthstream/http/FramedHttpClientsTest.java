package org.amaranthstream.http;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.PemKeyCertOptions;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Bytes that are part of no response, on connections of clients with strict framing. */
class FramedHttpClientsTest {
  private static final Path KEYS = Path.of("src/test/resources/peer-tls");
  private static final String OK = ScriptedTcpServer.response("200 OK", "", "body");
  private static final String JOINED = "HTTP/1.1 404 Not " + OK;

  private final Vertx vertx = Vertx.vertx();
  private final FramedHttpClients clients = FramedHttpClients.on(vertx);
  private NetServer server;

  @AfterEach
  void close() {
    ScriptedTcpServer.await(vertx.close());
  }

  private void start(boolean isTls, Consumer<NetSocket> script) {
    NetServerOptions options = new NetServerOptions();
    if (isTls) {
      options
          .setSsl(true)
          .setKeyCertOptions(
              new PemKeyCertOptions()
                  .setCertPath(KEYS.resolve("vm-a.pem").toString())
                  .setKeyPath(KEYS.resolve("vm-a.key").toString()));
    }
    server = vertx.createNetServer(options).connectHandler(script::accept);
    ScriptedTcpServer.await(server.listen(0, ScriptedTcpServer.HOST));
  }

  private static Consumer<NetSocket> answer(String bytes) {
    return socket -> socket.handler(unused -> socket.write(bytes));
  }

  private HttpClientAgent client(boolean isTls) {
    HttpClientOptions options =
        new HttpClientOptions().setSsl(isTls).setTrustAll(true).setVerifyHost(false);
    return clients.create(
        HttpClientKind.PLATFORM, options, new PoolOptions(), ImmutableSet.of("Revision"));
  }

  private Future<Buffer> request(HttpClientAgent client) {
    return client
        .request(HttpMethod.GET, server.actualPort(), ScriptedTcpServer.HOST, "/")
        .compose(HttpClientRequest::send)
        .compose(response -> response.body());
  }

  private static Throwable failureOf(Future<Buffer> response) {
    return response
        .transform(result -> Future.succeededFuture(result.cause()))
        .toCompletionStage()
        .toCompletableFuture()
        .orTimeout(10, TimeUnit.SECONDS)
        .join();
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void wholeResponsesArrive(boolean isTls) {
    start(isTls, answer(OK));

    assertThat(ScriptedTcpServer.await(request(client(isTls))).toString()).isEqualTo("body");
    assertThat(clients.faultCount(HttpClientKind.PLATFORM)).isEqualTo(0);
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void joinedResponsesFailTheirRequest(boolean isTls) {
    start(isTls, answer(JOINED));

    Throwable cause = failureOf(request(client(isTls)));
    assertThat(cause).isInstanceOf(MalformedResponseException.class);
    assertThat(clients.faultCount(HttpClientKind.PLATFORM)).isEqualTo(1);
    assertThat(clients.faultCount(HttpClientKind.CALLS)).isEqualTo(0);
  }

  /** A server may write to a connection as soon as it has accepted it. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void responsesThatBeginBeforeTheRequestFailIt(boolean isTls) {
    start(
        isTls,
        socket -> {
          socket.write("HTTP/1.1 404 Not ");
          socket.handler(unused -> socket.write(OK));
        });

    Throwable cause = failureOf(request(client(isTls)));
    assertThat(cause).isNotNull();
    if (!isTls) {
      // Over TLS the client may also close the connection by itself.
      assertThat(clients.faultCount(HttpClientKind.PLATFORM)).isEqualTo(1);
    }
  }

  @Test
  void fieldsThatMayStandOnceFailTheRequestIfTheyStandTwice() {
    start(
        false, answer(ScriptedTcpServer.response("200 OK", "Revision: 1\r\nrevision: 2\r\n", "")));

    Throwable cause = failureOf(request(client(false)));
    assertThat(cause).isInstanceOf(MalformedResponseException.class);
  }
}
