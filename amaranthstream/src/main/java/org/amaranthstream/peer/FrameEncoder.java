package org.amaranthstream.peer;

import com.google.protobuf.CodedOutputStream;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;
import java.io.IOException;
import org.amaranthstream.peer.wire.Frame;

/** Encoder of frames: a length of four bytes, then the message. */
@Sharable
final class FrameEncoder extends MessageToByteEncoder<Frame> {
  static final FrameEncoder INSTANCE = new FrameEncoder();

  private FrameEncoder() {
    super(Frame.class);
  }

  @Override
  protected ByteBuf allocateBuffer(ChannelHandlerContext ctx, Frame frame, boolean preferDirect) {
    return ctx.alloc().ioBuffer(FrameDecoder.LENGTH_BYTES + frame.getSerializedSize());
  }

  @Override
  protected void encode(ChannelHandlerContext ctx, Frame frame, ByteBuf out) throws IOException {
    int size = frame.getSerializedSize();
    out.writeInt(size);
    int start = out.writerIndex();
    CodedOutputStream stream = CodedOutputStream.newInstance(out.nioBuffer(start, size));
    frame.writeTo(stream);
    stream.checkNoSpaceLeft();
    out.writerIndex(start + size);
  }
}
