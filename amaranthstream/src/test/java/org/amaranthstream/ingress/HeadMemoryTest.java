package org.amaranthstream.ingress;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerOptions;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against heads that take more heap than is reserved for them. */
class HeadMemoryTest {
  private static final int REQUESTS = 40;
  private static final int HEAD_BYTES = 16_000;

  /** Copies of the headers beside those of the request: the forwarded ones and two attempts. */
  private static final int COPIES = 3;

  private final List<Object> kept = new ArrayList<>();

  private static long usedHeap() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private static String head(String line) {
    StringBuilder head = new StringBuilder("POST /x HTTP/1.1\r\n");
    for (int i = 0; head.length() < HEAD_BYTES; i++) {
      head.append(line.replace("#", Integer.toString(i, 36)));
    }
    return head.append("\r\n").toString();
  }

  private void keepDecoded(String head) {
    HttpServerOptions options =
        new HttpServerOptions().setMaxHeaderSize(1 << 20).setMaxInitialLineLength(1 << 20);
    EmbeddedChannel channel =
        new EmbeddedChannel(new RequestDecoder(options, RequestFlow.builder().build()));
    channel.writeInbound(Unpooled.copiedBuffer(head, ISO_8859_1));
    HttpRequest request = channel.readInbound();
    assertThat(request.decoderResult().isSuccess()).isTrue();
    kept.add(request);
    for (int i = 0; i < COPIES; i++) {
      MultiMap copy = MultiMap.caseInsensitiveMultiMap();
      request.headers().forEach(header -> copy.add(header.getKey(), header.getValue()));
      kept.add(copy);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"a:\r\n", "a#:\r\n", "#:v\r\n", "name-#: value-of-it-#\r\n"})
  void isReserved(String line) {
    String head = head(line);
    keepDecoded(head);
    long before = usedHeap();
    for (int i = 0; i < REQUESTS; i++) {
      keepDecoded(head);
    }
    long used = (usedHeap() - before) / REQUESTS;
    int lines = head.split("\n", -1).length;
    assertThat(used).isAtMost(HeadMemory.bytesFor(lines, head.length()));
  }
}
