package org.amaranthstream.ingress;

/**
 * The heap that the decoded head of a request takes: the header objects of the request itself, of
 * the copy that is forwarded, and of the attempts at backend servers.
 */
final class HeadMemory {
  /** Heap of a request without headers: the request, its response, and what they refer to. */
  private static final long BYTES_PER_REQUEST = 2_048;

  /** Heap of the objects of a header in all copies. */
  static final long BYTES_PER_LINE = 512;

  /** Copies of the characters: names and values, and the encoded heads to servers and peers. */
  static final long COPIES_OF_CHARACTERS = 4;

  /**
   * Bytes of each head that are not reserved: their sum is bounded by the number of connections. An
   * ordinary head takes no more, and is decoded even if the budget is used up.
   */
  static final long UNRESERVED_BYTES = 16 * 1_024;

  private HeadMemory() {}

  /** Returns the bytes that a head of {@code lines} lines and {@code bytes} bytes takes. */
  static long bytesFor(int lines, int bytes) {
    return BYTES_PER_REQUEST + lines * BYTES_PER_LINE + bytes * COPIES_OF_CHARACTERS;
  }

  /** Returns the bytes to reserve for what takes {@code bytes} bytes. */
  static long reservationFor(long bytes) {
    return Math.max(0, bytes - UNRESERVED_BYTES);
  }
}
