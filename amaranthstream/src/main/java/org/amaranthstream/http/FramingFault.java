package org.amaranthstream.http;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;

/**
 * Bytes on a connection to a server that are part of no response. Immutable.
 *
 * @param kind when the bytes arrived
 * @param reason why they are part of no response
 * @param excerpt the first of them, in printable characters
 */
public record FramingFault(Kind kind, String reason, String excerpt) {
  private static final int MAX_EXCERPT_BYTES = 64;

  /** When the bytes arrived. */
  public enum Kind {
    /** While no request waited for a response. */
    UNSOLICITED,
    /** Where a request waited for its response. */
    MALFORMED
  }

  /** Checks the components. */
  public FramingFault {
    checkNotNull(kind, "kind");
    checkNotNull(reason, "reason");
    checkNotNull(excerpt, "excerpt");
  }

  /** Returns a fault with an excerpt of the unread bytes of {@code bytes}, which stay unread. */
  static FramingFault of(Kind kind, String reason, ByteBuf bytes) {
    int length = Math.min(bytes.readableBytes(), MAX_EXCERPT_BYTES);
    byte[] first = ByteBufUtil.getBytes(bytes, bytes.readerIndex(), length);
    return new FramingFault(kind, reason, printable(first));
  }

  private static String printable(byte[] bytes) {
    StringBuilder text = new StringBuilder();
    for (char c : new String(bytes, StandardCharsets.ISO_8859_1).toCharArray()) {
      boolean isPlain = c >= ' ' && c < 0x7f && c != '"' && c != '\\';
      text.append(isPlain ? String.valueOf(c) : String.format("\\x%02x", (int) c));
    }
    return text.toString();
  }
}
