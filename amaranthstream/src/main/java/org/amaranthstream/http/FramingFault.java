package org.amaranthstream.http;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;

/**
 * Bytes on a connection to a server that are part of no response. Immutable.
 *
 * <p>The excerpt shows only what looks like a part of a head, as other bytes may be meant for a
 * caller.
 *
 * @param kind when the bytes arrived
 * @param reason why they are part of no response
 * @param requests the number of requests that the connection has carried
 * @param excerpt the first of the bytes, in printable characters, or their number
 */
public record FramingFault(Kind kind, String reason, int requests, String excerpt) {
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
  static FramingFault of(Kind kind, String reason, int requests, ByteBuf bytes) {
    int length = Math.min(bytes.readableBytes(), MAX_EXCERPT_BYTES);
    byte[] first = ByteBufUtil.getBytes(bytes, bytes.readerIndex(), length);
    String text = new String(first, StandardCharsets.ISO_8859_1);
    String excerpt = text.contains("HTTP/") ? printable(text) : bytes.readableBytes() + " bytes";
    return new FramingFault(kind, reason, requests, excerpt);
  }

  private static String printable(String text) {
    StringBuilder printable = new StringBuilder();
    for (char c : text.toCharArray()) {
      boolean isPlain = c >= ' ' && c < 0x7f && c != '"' && c != '\\';
      printable.append(isPlain ? String.valueOf(c) : String.format("\\x%02x", (int) c));
    }
    return printable.toString();
  }
}
