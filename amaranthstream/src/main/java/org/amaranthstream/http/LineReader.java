package org.amaranthstream.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Reader of lines that keeps their bytes until all lines of a section are checked. */
final class LineReader {
  private static final int MAX_SECTION_BYTES = 16 * 1024;

  private ByteBuf section = Unpooled.buffer();
  private int lineStart;
  private int lastLineStart;

  /** Returns the next line without its end, empty if {@code in} ends before the line does. */
  Optional<String> read(ByteBuf in) throws MalformedResponseException {
    int end = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
    int length = (end < 0 ? in.writerIndex() : end + 1) - in.readerIndex();
    if (section.readableBytes() + length > MAX_SECTION_BYTES) {
      throw new MalformedResponseException("the lines of the response are too long");
    }
    lastLineStart = lineStart;
    section.writeBytes(in, length);
    return end < 0 ? Optional.empty() : Optional.of(endLine());
  }

  private String endLine() throws MalformedResponseException {
    int length = section.writerIndex() - lineStart;
    String line = section.toString(lineStart, length, StandardCharsets.ISO_8859_1);
    if (!line.endsWith("\r\n")) {
      throw new MalformedResponseException("a line of the response does not end with CR LF");
    }
    lineStart = section.writerIndex();
    return line.substring(0, line.length() - 2);
  }

  /** Returns the bytes of the line that was read last, which may be incomplete. */
  ByteBuf lastLine() {
    return section.slice(lastLineStart, section.writerIndex() - lastLineStart);
  }

  /** Returns the bytes of the section, which has ended, and begins another one. */
  ByteBuf endSection() {
    final ByteBuf ended = section;
    section = Unpooled.buffer();
    lineStart = 0;
    lastLineStart = 0;
    return ended;
  }
}
