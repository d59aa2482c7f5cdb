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
 * Decoder of frames: a length of four bytes, then the message. A length above the limit closes the
 * connection before any part of the frame is stored. The limit is low until both sides have
 * authenticated.
 */
final class FrameDecoder extends ByteToMessageDecoder {
  static final int LENGTH_BYTES = 4;
  static final int MAX_HANDSHAKE_BYTES = 4096;

  private int maxFrameBytes = MAX_HANDSHAKE_BYTES;
  private long decodedBytes;

  /** Sets the limit that applies once the remote side has authenticated. */
  void setMaxFrameBytes(int maxFrameBytes) {
    this.maxFrameBytes = maxFrameBytes;
  }

  /** Returns the number of bytes of the frames decoded since the last call. */
  long takeDecodedBytes() {
    long taken = decodedBytes;
    decodedBytes = 0;
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
      throw new TooLongFrameException(
          "invalid frame length of " + length + " bytes, limit " + maxFrameBytes);
    }
    if (in.readableBytes() < LENGTH_BYTES + length) {
      return;
    }
    in.skipBytes(LENGTH_BYTES);
    out.add(parse(in.readSlice(length)));
    decodedBytes += LENGTH_BYTES + length;
  }

  private static Frame parse(ByteBuf body) {
    try {
      return Frame.parseFrom(body.nioBuffer());
    } catch (IOException e) {
      throw new CorruptedFrameException("frame body is not a valid message", e);
    }
  }
}
