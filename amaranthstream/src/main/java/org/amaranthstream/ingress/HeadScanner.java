package org.amaranthstream.ingress;

import io.netty.buffer.ByteBuf;

/**
 * A scanner for the end of a request's head in bytes that arrive in parts. It looks at each byte
 * once, and decodes nothing. Not thread safe.
 */
final class HeadScanner {
  private static final byte LINE_FEED = '\n';
  private static final byte CARRIAGE_RETURN = '\r';

  /** Control characters and spaces up to this one are ignored before the first line. */
  private static final byte LAST_IGNORED = ' ';

  private int ignoredBytes;
  private int scannedBytes;
  private int lines;
  private boolean isLineEmpty;

  /** Prepares for the head of the next request. */
  void reset() {
    ignoredBytes = 0;
    scannedBytes = 0;
    lines = 0;
    isLineEmpty = false;
  }

  /**
   * Scans what has arrived since the last call, and returns true if the head is whole. Bytes before
   * the first line are skipped in {@code in}; all others stay there.
   */
  boolean scan(ByteBuf in) {
    if (scannedBytes == 0) {
      skipIgnoredBytes(in);
    }
    int end = in.writerIndex();
    for (int i = in.readerIndex() + scannedBytes; i < end; i++) {
      scannedBytes++;
      if (isEnd(in.getByte(i))) {
        return true;
      }
    }
    return false;
  }

  private void skipIgnoredBytes(ByteBuf in) {
    int start = in.readerIndex();
    int i = start;
    while (i < in.writerIndex() && in.getByte(i) >= 0 && in.getByte(i) <= LAST_IGNORED) {
      i++;
    }
    in.readerIndex(i);
    ignoredBytes += i - start;
  }

  /** Adds a byte, and returns true if it ends an empty line. */
  private boolean isEnd(byte next) {
    if (next != LINE_FEED) {
      isLineEmpty &= next == CARRIAGE_RETURN;
      return false;
    }
    boolean isEnd = isLineEmpty;
    lines++;
    isLineEmpty = true;
    return isEnd;
  }

  /** Returns the number of bytes that were scanned, with those that are ignored. */
  int bytes() {
    return ignoredBytes + scannedBytes;
  }

  /** Returns the number of lines that were scanned. */
  int lines() {
    return lines;
  }
}
