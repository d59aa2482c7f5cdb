package org.amaranthstream.ingress;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpServerOptions;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RequestDecoderTest {
  private static final String GET = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  private static final String POST = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n";

  private final RequestDecoder decoder =
      new RequestDecoder(
          new HttpServerOptions().setMaxHeaderSize(1 << 20).setMaxInitialLineLength(1 << 20),
          RequestFlow.builder().build());
  private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

  @AfterEach
  void close() {
    channel.finishAndReleaseAll();
  }

  private void send(String bytes) {
    channel.writeInbound(Unpooled.copiedBuffer(bytes, ISO_8859_1));
  }

  private void respond() {
    decoder.onResponseWritten();
    channel.runPendingTasks();
  }

  /** Returns the requests that were decoded since the last call. */
  private List<HttpRequest> decoded() {
    List<HttpRequest> requests = new ArrayList<>();
    for (HttpObject next = channel.readInbound(); next != null; next = channel.readInbound()) {
      if (next instanceof HttpRequest request) {
        requests.add(request);
      }
      ReferenceCountUtil.release(next);
    }
    return requests;
  }

  private boolean isReading() {
    return channel.config().isAutoRead();
  }

  @Nested
  class RequestsSentAhead {
    @Test
    void areDecodedOnceTheResponseBeforeIsWritten() {
      send(GET + POST + "body" + GET);
      assertThat(decoded()).hasSize(1);

      respond();
      assertThat(decoded()).hasSize(1);

      respond();
      assertThat(decoded()).hasSize(1);

      respond();
      assertThat(decoded()).isEmpty();
    }

    @Test
    void areNotReadBeforeTheResponseIsWritten() {
      send(GET);
      assertThat(isReading()).isTrue();

      send(GET.repeat(1_000));
      assertThat(isReading()).isFalse();

      respond();
      respond();
      assertThat(decoded()).hasSize(3);
    }

    @Test
    void areReadAgainOnceFewAreLeft() {
      send(GET.repeat(200));
      for (int i = 0; i < 200; i++) {
        respond();
      }
      assertThat(decoded()).hasSize(200);
      assertThat(isReading()).isTrue();
    }

    @Test
    void waitForTheEndOfBodyThatIsRejectedBefore() {
      send(POST + "bo");
      respond();
      send("dy" + GET);

      assertThat(decoded()).hasSize(2);
    }

    @Test
    void behindTheLastRequestAreNotDecoded() {
      send("GET /x HTTP/1.1\r\nConnection: close\r\n\r\n" + GET);
      respond();

      assertThat(decoded()).hasSize(1);
    }
  }
}
