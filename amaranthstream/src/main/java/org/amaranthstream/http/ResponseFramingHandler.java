package org.amaranthstream.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Handler of one connection that passes only the bytes of responses on, and closes the connection
 * at the first byte that is part of none.
 *
 * <p>Bytes behind a whole response close the connection once the client reads on: while it has
 * paused the response, it has not received all of it.
 */
final class ResponseFramingHandler extends ChannelDuplexHandler {
  private final ResponseFramer framer;
  private final Consumer<FramingFault> listener;
  private volatile boolean hasFault;

  ResponseFramingHandler(ResponseFramer framer, Consumer<FramingFault> listener) {
    this.framer = framer;
    this.listener = listener;
  }

  /** Returns true if the connection is being closed and carries no further request. */
  boolean hasFault() {
    return hasFault;
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
    if (fault.filter(found -> found.kind() == FramingFault.Kind.MALFORMED).isPresent()) {
      checked.forEach(ReferenceCountUtil::release);
      failRequest(context, fault.get());
      return;
    }
    checked.forEach(context::fireChannelRead);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    context.fireChannelReadComplete();
    if (hasFault) {
      closeUnlessPaused(context);
    }
  }

  private void onFault(FramingFault fault) {
    hasFault = true;
    listener.accept(fault);
  }

  private static void failRequest(ChannelHandlerContext context, FramingFault fault) {
    // The request fails with the fault, and not because what it still writes is lost.
    context.fireExceptionCaught(new MalformedResponseException(fault.reason()));
    context.close();
  }

  /** Called when the client reads on after a pause, among others. */
  @Override
  public void read(ChannelHandlerContext context) {
    context.read();
    if (hasFault) {
      context.executor().execute(() -> closeUnlessPaused(context));
    }
  }

  private static void closeUnlessPaused(ChannelHandlerContext context) {
    if (context.channel().config().isAutoRead()) {
      context.close();
    }
  }
}
