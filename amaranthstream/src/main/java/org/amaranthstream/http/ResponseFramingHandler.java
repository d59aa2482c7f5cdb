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
    fault.ifPresent(this::onFault);
    if (isOfRequest(fault)) {
      checked.forEach(context::fireChannelRead);
      // The request fails with the fault, and not because what it still writes is lost.
      context.fireExceptionCaught(new MalformedResponseException(fault.get().reason()));
      context.close();
      return;
    }
    // The end of a response may lead to the next request, which must not be written any more.
    fault.ifPresent(unused -> context.close());
    checked.forEach(context::fireChannelRead);
  }

  private void onFault(FramingFault fault) {
    hasFault = true;
    listener.accept(fault);
  }

  /** Returns true if a request waits for the response that the bytes are no part of. */
  private static boolean isOfRequest(Optional<FramingFault> fault) {
    return fault.filter(found -> found.kind() == FramingFault.Kind.MALFORMED).isPresent();
  }
}
