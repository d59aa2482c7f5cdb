package org.amaranthstream.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import java.util.function.Consumer;

/** Observer of the bytes of one connection, which reports the first that are of no response. */
final class ResponseFramingHandler extends ChannelInboundHandlerAdapter {
  private final ResponseFramer framer;
  private final Consumer<FramingFault> listener;
  private boolean hasFault;

  ResponseFramingHandler(ResponseFramer framer, Consumer<FramingFault> listener) {
    this.framer = framer;
    this.listener = listener;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof ByteBuf bytes && !hasFault) {
      observe(bytes.duplicate());
    }
    context.fireChannelRead(message);
  }

  private void observe(ByteBuf bytes) {
    Optional<FramingFault> fault = framer.read(bytes, ReferenceCountUtil::release);
    if (fault.isPresent()) {
      hasFault = true;
      listener.accept(fault.get());
    }
  }
}
