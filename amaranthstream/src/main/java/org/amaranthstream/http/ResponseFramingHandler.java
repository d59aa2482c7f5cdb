package org.amaranthstream.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Handler of one connection that passes only the bytes of responses on, and closes the connection
 * at the first byte that is part of none.
 */
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
    if (hasFault || !(message instanceof ByteBuf bytes)) {
      ReferenceCountUtil.release(message);
      return;
    }
    List<ByteBuf> checked = new ArrayList<>();
    Optional<FramingFault> fault = framer.read(bytes, checked::add);
    bytes.release();
    // The end of a response may lead to the next request, which must not be written any more.
    fault.ifPresent(found -> close(context, found));
    checked.forEach(context::fireChannelRead);
    fault.ifPresent(found -> failRequest(context, found));
  }

  private void close(ChannelHandlerContext context, FramingFault fault) {
    hasFault = true;
    listener.accept(fault);
    context.close();
  }

  private static void failRequest(ChannelHandlerContext context, FramingFault fault) {
    if (fault.kind() == FramingFault.Kind.MALFORMED) {
      context.fireExceptionCaught(new MalformedResponseException(fault.reason()));
    }
  }
}
