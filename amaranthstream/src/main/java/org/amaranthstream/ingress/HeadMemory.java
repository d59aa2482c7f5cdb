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

  private HeadMemory() {}

  /** Returns the bytes to reserve for a head of {@code lines} lines and {@code bytes} bytes. */
  static long bytesFor(int lines, int bytes) {
    return BYTES_PER_REQUEST + lines * BYTES_PER_LINE + bytes * COPIES_OF_CHARACTERS;
  }
}
