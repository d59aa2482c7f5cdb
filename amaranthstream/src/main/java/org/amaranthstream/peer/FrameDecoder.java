package org.amaranthstream.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.io.IOException;
import java.util.List;
import org.amaranthstream.peer.wire.Frame;

/**
 * Reads frames: four bytes of length, then the message. A length over the limit ends the connection
 * before any of the frame is stored. Until both sides have proved themselves the limit is low.
 */
final class FrameDecoder extends ByteToMessageDecoder {
  static final int LENGTH_BYTES = 4;
  static final int MAX_HANDSHAKE_BYTES = 4096;

  private int maxFrameBytes = MAX_HANDSHAKE_BYTES;
  private long bytes;

  /** Raises the limit once the other side is authenticated. */
  void setMaxFrameBytes(int maxFrameBytes) {
    this.maxFrameBytes = maxFrameBytes;
  }

  /** Returns the bytes read since the last call. */
  long takeBytes() {
    long taken = bytes;
    bytes = 0;
    return taken;
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
    if (in.readableBytes() < LENGTH_BYTES) {
      return;
    }
    int length = in.getInt(in.readerIndex());
    if (length <= 0 || length > maxFrameBytes) {
      in.skipBytes(in.readableBytes());
      throw new TooLongFrameException("frame of " + length + " bytes, limit " + maxFrameBytes);
    }
    if (in.readableBytes() < LENGTH_BYTES + length) {
      return;
    }
    in.skipBytes(LENGTH_BYTES);
    out.add(parse(in.readSlice(length)));
    bytes += LENGTH_BYTES + length;
  }

  private static Frame parse(ByteBuf body) {
    try {
      return Frame.parseFrom(body.nioBuffer());
    } catch (IOException e) {
      throw new CorruptedFrameException("frame cannot be read", e);
    }
  }
}
