package org.amaranthstream.http;

import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.util.stream.Collectors.joining;

import com.google.common.collect.ImmutableSet;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests that what the framer takes for one response is one response to the decoder above it. */
class FramerAndDecoderTest {
  /** Control characters and characters beyond ASCII. */
  private static final List<Integer> ODD_CODES = List.of(0x0b, 0x0c, 0x1c, 0x7f, 0x85, 0xa0, 0xff);

  private static final String NEXT = "HTTP/1.1 299 Next\r\nContent-Length: 0\r\n\r\n";
  private static final List<String> FRAMINGS =
      List.of(
          "Content-Length: 4\r\n\r\nwhat",
          "Content-Length: 0\r\n\r\n",
          "content-length:  04 \r\n\r\nwhat",
          "Transfer-Encoding: Chunked\r\n\r\n4;x=y\r\nwhat\r\n0a\r\n0123456789\r\n0\r\n\r\n",
          "Transfer-Encoding: chunked\t\r\n\r\n4 \r\nwhat\r\n000\r\nSum: 1\r\nId: z\r\n\r\n");

  private static EmbeddedChannel decoder(boolean isHead) {
    EmbeddedChannel channel = new EmbeddedChannel(new HttpClientCodec());
    for (int i = 0; i < 2; i++) {
      channel.writeOutbound(
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, isHead && i == 0 ? HttpMethod.HEAD : HttpMethod.GET, "/"));
    }
    return channel;
  }

  /** Returns the statuses that the decoder reads, with an end mark behind each that is complete. */
  private static List<String> decode(EmbeddedChannel channel, String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, ISO_8859_1));
    List<String> read = new ArrayList<>();
    for (HttpObject next = channel.readInbound(); next != null; next = channel.readInbound()) {
      if (next.decoderResult().isFailure()) {
        read.add("failure " + next.decoderResult().cause());
      } else if (next instanceof HttpResponse response) {
        read.add("" + response.status().code());
      }
      if (next instanceof LastHttpContent) {
        read.add("end");
      }
      ReferenceCountUtil.release(next);
    }
    return read;
  }

  private static Optional<String> divergence(String response, boolean isHead) {
    ResponseFramer framer = new ResponseFramer(ImmutableSet.of("id"));
    framer.onRequest(isHead);
    ByteBuf checked = Unpooled.buffer();
    Optional<FramingFault> fault =
        framer.read(Unpooled.copiedBuffer(response + "\u0001", ISO_8859_1), checked::writeBytes);
    boolean isWhole = fault.isPresent() && fault.get().kind() == FramingFault.Kind.UNSOLICITED;
    if (!isWhole) {
      return Optional.empty();
    }
    EmbeddedChannel channel = decoder(isHead);
    List<String> first = decode(channel, checked.toString(ISO_8859_1));
    List<String> second = decode(channel, NEXT);
    channel.finishAndReleaseAll();
    boolean isOne = !first.isEmpty() && first.get(first.size() - 1).equals("end");
    boolean hasFailed = first.toString().contains("failure");
    return hasFailed || (isOne && second.equals(List.of("299", "end")))
        ? Optional.empty()
        : Optional.of(first + " then " + second);
  }

  @Test
  void agreeAboutStatusesAndFramings() {
    List<String> divergences = new ArrayList<>();
    for (String version : List.of("1.0", "1.1")) {
      for (int status = 100; status < 1000; status++) {
        for (String framing : FRAMINGS) {
          for (boolean isHead : new boolean[] {false, true}) {
            String interim = status < 200 ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" : "";
            String body = status < 200 || status == 204 || status == 304 || isHead ? "" : framing;
            String head = framing.substring(0, framing.indexOf("\r\n\r\n") + 4);
            String text =
                "HTTP/" + version + " " + status + " R\r\n" + (body.isEmpty() ? head : body);
            divergence(text + interim, isHead)
                .ifPresent(found -> divergences.add(isHead + " " + text + found));
          }
        }
      }
    }
    assertWithMessage("%s", divergences).that(divergences).isEmpty();
  }

  @Test
  void agreeAboutMutatedResponses() {
    Random random = new Random(52);
    String odd =
        "\t \r\n:;,0123456789abcdefHTTP/1.-+\"chunked"
            + ODD_CODES.stream().map(Character::toString).collect(joining());
    List<String> divergences = new ArrayList<>();
    for (int i = 0; i < 100_000; i++) {
      String framing = FRAMINGS.get(random.nextInt(FRAMINGS.size()));
      int status = List.of(100, 200, 204, 205, 304, 500).get(random.nextInt(6));
      StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " R\r\nA: b\r\n" + framing);
      if (status < 200) {
        text.append("HTTP/1.1 200 R\r\n").append(framing);
      }
      int mutations = 1 + random.nextInt(3);
      for (int m = 0; m < mutations; m++) {
        int at = random.nextInt(text.length());
        switch (random.nextInt(4)) {
          case 0 -> text.deleteCharAt(at);
          case 1 -> text.insert(at, odd.charAt(random.nextInt(odd.length())));
          case 2 -> text.setCharAt(at, odd.charAt(random.nextInt(odd.length())));
          default -> {
            int to = Math.min(text.length(), at + random.nextInt(30));
            text.insert(random.nextInt(text.length()), text.substring(at, to));
          }
        }
      }
      boolean isHead = random.nextInt(8) == 0;
      Optional<String> found = divergence(text.toString(), isHead);
      // The decoder forgets at an interim response that the request was HEAD.
      if (isHead && status < 200) {
        continue;
      }
      found.ifPresent(f -> divergences.add(isHead + " [" + text + "] " + f));
    }
    divergences.stream()
        .limit(12)
        .forEach(d -> System.out.println("DIV " + d.replace("\r", "\\r").replace("\n", "\\n")));
    assertWithMessage("%s", divergences.size()).that(divergences).isEmpty();
  }

  /** What passes after two cuts in a row, or after a cut answer to the same request. */
  @Test
  void twoCutsOneAfterTheOtherPassNoOtherHead() {
    String a = "HTTP/1.1 200 OK\r\nDate: x\r\nId: a\r\nSeal: s\r\nContent-Length: 4\r\n\r\nwhat";
    String b = "HTTP/1.1 500 Oops\r\nDate: y\r\nId: b\r\nSeal: t\r\nContent-Length: 4\r\n\r\nnope";
    String interim = "HTTP/1.1 103 Hints\r\nLink: l\r\n\r\n";
    List<String> wrong = new ArrayList<>();
    for (String first : List.of(a, interim + a, b, a.replace("what", "a:b\r\n"))) {
      for (String second : List.of(a, interim, b)) {
        for (int i = 0; i < first.length(); i++) {
          for (int j = 0; j <= second.length(); j++) {
            String text = first.substring(0, i) + second.substring(0, j) + b;
            ResponseFramer framer = new ResponseFramer(ImmutableSet.of("id", "seal"));
            framer.onRequest(false);
            ByteBuf checked = Unpooled.buffer();
            var unused = framer.read(Unpooled.copiedBuffer(text, ISO_8859_1), checked::writeBytes);
            String read = checked.toString(ISO_8859_1).replace(interim, "");
            if (!read.isEmpty()) {
              boolean isOwnHead =
                  read.startsWith(a.substring(0, a.indexOf("\r\n\r\n")))
                      || read.startsWith(b.substring(0, b.indexOf("\r\n\r\n")));
              if (!isOwnHead) {
                wrong.add(text);
              }
            }
          }
        }
      }
    }
    wrong.stream()
        .limit(5)
        .forEach(d -> System.out.println("WRONG " + d.replace("\r", "\\r").replace("\n", "\\n")));
    assertWithMessage("%s", wrong.size()).that(wrong).isEmpty();
  }
}
