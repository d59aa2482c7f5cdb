package org.amaranthstream.standins.link;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.standins.TestHttpClient;
import org.amaranthstream.standins.engine.EngineStandin;
import org.amaranthstream.standins.server.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class LinkStandinTest {
  private final Vertx vertx = Vertx.vertx();
  private final EngineStandin engine = EngineStandin.builder().start();
  private final LinkStandin link =
      LinkStandin.builder(vertx).target("127.0.0.1", engine.port()).latencyMs(2).start();
  private final TestHttpClient http = new TestHttpClient();
  private final String url = "http://127.0.0.1:" + link.port() + "/v1/load";

  @AfterEach
  void close() {
    http.close();
    link.close();
    engine.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @Test
  void forwardsAndCountsBytes() throws IOException {
    assertThat(http.get(url).status()).isEqualTo(200);
    assertThat(link.forwardedBytes()).isGreaterThan(100);
  }

  @Test
  void closesNewConnectionsWhileClosed() {
    link.setState(LinkState.CLOSED);
    assertThrows(IOException.class, () -> http.get(url));
  }

  @Test
  void dropsBytesWhileSilentAndKeepsConnectionsOpen() throws IOException {
    http.get(url);
    final long bytesBefore = link.forwardedBytes();
    link.setState(LinkState.SILENT);
    CompletableFuture<HttpResponse> pending = http.callAsync(HttpMethod.GET, url, "");
    try (TestHttpClient direct = new TestHttpClient()) {
      direct.get(engine.url() + "/v1/load");
    }
    assertThat(pending.isDone()).isFalse();
    assertThat(link.forwardedBytes()).isEqualTo(bytesBefore);
  }
}
