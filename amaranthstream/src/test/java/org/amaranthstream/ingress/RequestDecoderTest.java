package org.amaranthstream.ingress;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpServerOptions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.amaranthstream.memory.MemoryBudget;
import org.amaranthstream.memory.Reservation;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RequestDecoderTest {
  private static final int CAPACITY = 1_000_000;
  private static final int MAX_HEAD_BYTES = 4_096;
  private static final String GET = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  private static final String POST = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n";
  private static final String SHORT_LINE = "a:\r\n";
  private static final int EXTRA_LINES = 100;
  private static final String LONG_GET =
      "GET /x HTTP/1.1\r\nHost: h\r\n" + SHORT_LINE.repeat(EXTRA_LINES) + "\r\n";

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final MemoryBudget budget = MemoryBudget.of(timers, CAPACITY);
  private final RequestDecoder decoder =
      new RequestDecoder(
          new HttpServerOptions().setMaxHeaderSize(1 << 20).setMaxInitialLineLength(1 << 20),
          RequestFlow.builder().maxHeadBytes(() -> MAX_HEAD_BYTES).memory(budget).build());
  private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

  @AfterEach
  void close() {
    channel.finishAndReleaseAll();
    assertThat(budget.usedBytes()).isEqualTo(0);
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

  private Throwable rejection() {
    List<HttpRequest> requests = decoded();
    assertThat(requests).hasSize(1);
    return requests.get(0).decoderResult().cause();
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

  @Nested
  class Heads {
    @Test
    void ofManyLinesAreReservedUntilTheResponseIsWritten() {
      send(LONG_GET);
      long bytes = HeadMemory.bytesFor(3 + EXTRA_LINES, LONG_GET.length());
      assertThat(budget.usedBytes()).isEqualTo(bytes - HeadMemory.UNRESERVED_BYTES);
      assertThat(RequestDecoder.memoryOf(channel).bytes()).isEqualTo(budget.usedBytes());

      respond();
      assertThat(budget.usedBytes()).isEqualTo(0);
    }

    @Test
    void ofTheMaximumLengthAreDecoded() {
      String end = "\r\n";
      String start = "GET /x HTTP/1.1\r\n";
      int lines = (MAX_HEAD_BYTES - start.length() - end.length()) / SHORT_LINE.length();
      send(start + SHORT_LINE.repeat(lines) + end);

      List<HttpRequest> requests = decoded();
      assertThat(requests.get(0).decoderResult().isSuccess()).isTrue();
      assertThat(requests.get(0).headers().getAll("a")).hasSize(lines);
    }

    @Test
    void withoutEndAreRejected() {
      send("GET /x HTTP/1.1\r\n");
      send(SHORT_LINE.repeat(MAX_HEAD_BYTES));

      assertThat(rejection()).isInstanceOf(TooLongHttpHeaderException.class);
    }

    @Test
    void behindEmptyLinesWithoutEndAreRejected() {
      send("\r\n".repeat(MAX_HEAD_BYTES));

      assertThat(rejection()).isInstanceOf(TooLongHttpHeaderException.class);
    }

    @Test
    void thatAreRejectedEndTheConnection() {
      send("GET /x HTTP/1.1\r\n" + SHORT_LINE.repeat(MAX_HEAD_BYTES));
      send(GET);

      assertThat(decoded()).hasSize(1);
    }
  }

  @Nested
  class HeadsWithoutMemory {
    private final Reservation other = budget.open();

    private void fill() {
      other.forceGrow(CAPACITY);
    }

    /** Guards against a full budget that keeps out callers who would free it. */
    @Test
    void areDecodedIfTheyAreOrdinary() {
      fill();
      send(POST + "body");
      assertThat(decoded()).hasSize(1);

      respond();
      send(GET);
      assertThat(decoded()).hasSize(1);
      other.release();
    }

    @Test
    void waitForIt() {
      fill();
      send(LONG_GET);
      assertThat(decoded()).isEmpty();

      other.release();
      channel.runPendingTasks();
      assertThat(decoded()).hasSize(1);
    }

    @Test
    void areRejectedAfterSecond() {
      fill();
      send(LONG_GET);
      timers.advance(Duration.ofSeconds(1));
      channel.runPendingTasks();

      assertThat(rejection()).isInstanceOf(HeadMemoryException.class);
      other.release();
    }

    @Test
    void areForgottenIfTheConnectionIsClosed() {
      fill();
      send(LONG_GET);
      channel.close();
      other.release();

      assertThat(budget.usedBytes()).isEqualTo(0);
    }
  }

  @Nested
  class Chunks {
    private static final String CHUNKED = "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

    @Test
    void endTheRequest() {
      send(CHUNKED + "2\r\nab\r\n0\r\nTrailer: t\r\n\r\n" + GET);
      assertThat(decoded()).hasSize(1);

      respond();
      assertThat(decoded()).hasSize(1);
    }

    @Test
    void withTrailersWithoutEndCloseTheConnection() {
      send(CHUNKED + "0\r\n");
      for (int i = 0; i < MAX_HEAD_BYTES && channel.isActive(); i++) {
        send(SHORT_LINE.repeat(4));
      }

      assertThat(channel.isActive()).isFalse();
    }

    @Test
    void withExtensionWithoutEndCloseTheConnection() {
      send(CHUNKED + "1");
      for (int i = 0; i < MAX_HEAD_BYTES && channel.isActive(); i++) {
        send(";x".repeat(8));
      }

      assertThat(channel.isActive()).isFalse();
    }

    @Test
    void keepNoBytesOfTheirFraming() {
      send(CHUNKED);
      for (int i = 0; i < 100_000; i++) {
        send("1\r\n");
        send("x");
        send("\r\n");
        decoded();
      }

      assertThat(channel.isActive()).isTrue();
    }
  }
}
