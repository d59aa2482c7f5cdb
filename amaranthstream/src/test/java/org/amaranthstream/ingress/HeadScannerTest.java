package org.amaranthstream.ingress;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HeadScannerTest {
  private static final String HEAD = "GET / HTTP/1.1\r\nA: b\r\n folded\nC:\r\n\r\n";
  private static final int LINES = 5;

  private final HeadScanner scanner = new HeadScanner();

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, ISO_8859_1);
  }

  /** The end is found wherever the head is cut, and nothing behind it is counted. */
  @Property(tries = 200)
  void headThatArrivesInPartsIsFound(
      @ForAll @IntRange(min = 0, max = 8) int emptyLines,
      @ForAll @IntRange(min = 1, max = 20) int partBytes) {
    HeadScanner sampled = new HeadScanner();
    String sent = "\r\n".repeat(emptyLines) + HEAD + "body\r\n\r\n";
    int end = 2 * emptyLines + HEAD.length();
    ByteBuf arrived = Unpooled.buffer();
    for (int i = 0; i < sent.length(); i += partBytes) {
      int next = Math.min(sent.length(), i + partBytes);
      arrived.writeBytes(bytes(sent.substring(i, next)));
      boolean isWhole = sampled.scan(arrived);
      assertThat(isWhole).isEqualTo(next >= end);
      if (isWhole) {
        break;
      }
    }
    assertThat(sampled.bytes()).isEqualTo(end);
    assertThat(sampled.lines()).isEqualTo(LINES);
    assertThat(arrived.toString(ISO_8859_1)).startsWith(HEAD);
  }

  @ParameterizedTest
  @ValueSource(strings = {"\r\n", "\n", " ", "\u0000"})
  void bytesBeforeTheFirstLineAreCountedAndNotKept(String ignored) {
    ByteBuf arrived = Unpooled.buffer();
    for (int i = 0; i < 100; i++) {
      arrived.writeBytes(bytes(ignored));
      assertThat(scanner.scan(arrived)).isFalse();
    }
    assertThat(arrived.readableBytes()).isEqualTo(0);
    assertThat(scanner.bytes()).isEqualTo(100 * ignored.length());
  }

  @ParameterizedTest
  @ValueSource(strings = {"GET / HTTP/1.1\r\n\r\r\n", "GET / HTTP/1.1\n\n", "GET /\r\n\r\n"})
  void emptyLineEndsTheHead(String head) {
    assertThat(scanner.scan(bytes(head))).isTrue();
  }
}
