package org.amaranthstream.ingress;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.Iterables;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A decoder of the requests of one connection, with the bounds of a {@link RequestFlow} and strict
 * framing as described at {@link StrictFraming}. Used on the event loop of the connection.
 */
final class RequestDecoder extends VertxHttpRequestDecoder {
  /** Bytes behind a request that are kept before reading stops until its response is written. */
  private static final int MAX_BYTES_AHEAD = 4 * 1_024;

  private final RequestFlow flow;
  private @Nullable ChannelHandlerContext context;
  private State state = State.HEAD;
  private boolean isLastRequest;
  private boolean isResponseWritten;
  private boolean isPaused;
  private boolean isResumePending;

  private enum State {
    /** The head of a request is being received. */
    HEAD,
    /** The body of a request is being received. */
    BODY,
    /** The request is whole, and its response is not written yet. */
    RESPONSE,
    /** Nothing more is decoded. */
    CLOSING
  }

  RequestDecoder(HttpServerOptions options, RequestFlow flow) {
    super(options);
    this.flow = flow;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    this.context = context;
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException(
        "the request has both a Content-Length and a chunked Transfer-Encoding");
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    super.channelRead(context, message);
    if (state == State.RESPONSE && !isPaused && actualReadableBytes() > MAX_BYTES_AHEAD) {
      isPaused = true;
      context.channel().config().setAutoRead(false);
    }
  }

  /** The decoder of the library reads on by itself if nothing was decoded. */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) throws Exception {
    if (isPaused) {
      discardSomeReadBytes();
      context.fireChannelReadComplete();
    } else {
      super.channelReadComplete(context);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    state = State.CLOSING;
    super.channelInactive(context);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    switch (state) {
      case HEAD -> decodeHead(context, in, out);
      case BODY -> decodeBody(context, in, out);
      case CLOSING -> in.skipBytes(in.readableBytes());
      default -> {}
    }
  }

  private void decodeHead(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    isResponseWritten = false;
    super.decode(context, in, out);
    if (!out.isEmpty()) {
      isLastRequest = out.get(0) instanceof HttpRequest head && !HttpUtil.isKeepAlive(head);
      onDecoded(out);
    }
  }

  private void decodeBody(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    super.decode(context, in, out);
    if (!out.isEmpty()) {
      onDecoded(out);
    }
  }

  private void onDecoded(List<Object> out) {
    HttpObject last = (HttpObject) Iterables.getLast(out);
    if (last.decoderResult().isFailure()) {
      state = State.CLOSING;
    } else if (!(last instanceof LastHttpContent)) {
      state = State.BODY;
    } else if (isResponseWritten) {
      prepareForNext();
    } else {
      state = State.RESPONSE;
    }
  }

  /** Records that the connection has taken the whole response to the current request. */
  void onResponseWritten() {
    isResponseWritten = true;
    if (state == State.RESPONSE) {
      prepareForNext();
      resume();
    }
    flow.onResponseWritten();
  }

  private void prepareForNext() {
    state = isLastRequest ? State.CLOSING : State.HEAD;
  }

  /** Decodes what has arrived already, and reads again if reading was stopped. */
  private void resume() {
    if (!isResumePending && (isPaused || actualReadableBytes() > 0)) {
      isResumePending = true;
      checkNotNull(context).executor().execute(this::decodeKeptBytes);
    }
  }

  private void decodeKeptBytes() {
    isResumePending = false;
    ChannelHandlerContext current = checkNotNull(context);
    if (!current.channel().isActive()) {
      return;
    }
    if (isPaused) {
      isPaused = false;
      current.channel().config().setAutoRead(true);
    }
    try {
      channelRead(current, Unpooled.EMPTY_BUFFER);
      channelReadComplete(current);
    } catch (Exception e) {
      current.fireExceptionCaught(e);
    }
  }
}
