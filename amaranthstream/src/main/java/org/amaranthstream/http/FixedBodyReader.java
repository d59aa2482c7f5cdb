package org.amaranthstream.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.function.Consumer;

/** Reader of a body that ends after a number of bytes. */
final class FixedBodyReader implements PartReader {
  private long remaining;

  FixedBodyReader(long length) {
    this.remaining = length;
  }

  /** Returns the reader of a body that ends with its connection. */
  static FixedBodyReader endless() {
    return new FixedBodyReader(Long.MAX_VALUE);
  }

  @Override
  public boolean read(ByteBuf in, Consumer<ByteBuf> checked) {
    int length = (int) Math.min(in.readableBytes(), remaining);
    remaining -= length;
    if (length > 0) {
      checked.accept(in.readRetainedSlice(length));
    }
    return remaining == 0;
  }

  @Override
  public ByteBuf lastLine() {
    return Unpooled.EMPTY_BUFFER;
  }
}
