package org.amaranthstream.http;

import io.netty.buffer.ByteBuf;
import java.util.function.Consumer;

/** Reader of one part of a response. */
interface PartReader {
  /**
   * Reads the bytes of the part, as far as {@code in} has them.
   *
   * @param checked receives, in order, the bytes that are part of the response
   * @return true if the part is complete
   * @throws MalformedResponseException if the bytes are not such a part
   */
  boolean read(ByteBuf in, Consumer<ByteBuf> checked) throws MalformedResponseException;

  /** Returns the line that was read last and not passed on, empty if there is none. */
  ByteBuf lastLine();
}
