package org.amaranthstream.ingress;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.Iterables;
import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.AttributeKey;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.memory.Reservation;
import org.jspecify.annotations.Nullable;

/**
 * A decoder of the requests of one connection, with the bounds of a {@link RequestFlow} and strict
 * framing as described at {@link StrictFraming}. Used on the event loop of the connection.
 */
final class RequestDecoder extends VertxHttpRequestDecoder {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final AttributeKey<RequestDecoder> KEY =
      AttributeKey.valueOf(RequestDecoder.class, "decoder");

  /** Time for which a head waits for memory before its request is rejected. */
  private static final Duration MAX_WAIT_FOR_MEMORY = Duration.ofSeconds(1);

  /** Length of a head beyond the limit that is decoded, so that its headers can be counted. */
  private static final int TOLERATED_HEAD_BYTES = 1_024;

  /** Bytes behind a request that are kept before reading stops until its response is written. */
  private static final int MAX_BYTES_AHEAD = 4 * 1_024;

  private final RequestFlow flow;
  private final HeadScanner scanner = new HeadScanner();
  private @Nullable ChannelHandlerContext context;
  private State state = State.HEAD;
  private Reservation memory;
  private final Reservation framingMemory;
  private int framingBytes;
  private boolean isLastRequest;
  private boolean isResponseWritten;
  private boolean isPaused;
  private boolean isResumePending;

  private enum State {
    /** The head of a request is being received. */
    HEAD,
    /** A whole head waits for memory. */
    WAITING,
    /** There is memory for a whole head. */
    ADMITTED,
    /** There is no memory for a whole head. */
    DENIED,
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
    this.memory = flow.memory().open();
    this.framingMemory = flow.memory().open();
  }

  /** Returns the memory of the current request on {@code channel}. */
  static Reservation memoryOf(Channel channel) {
    return channel.attr(KEY).get().memory;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    this.context = context;
    context.channel().attr(KEY).set(this);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException(
        "the request has both a Content-Length and a chunked Transfer-Encoding");
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    super.channelRead(context, message);
    boolean isHeld = state == State.WAITING || state == State.RESPONSE;
    if (isHeld && !isPaused && actualReadableBytes() > MAX_BYTES_AHEAD) {
      isPaused = true;
      context.channel().config().setAutoRead(false);
    }
  }

  /** The decoder of the library would read on, even if reading is stopped. */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    discardSomeReadBytes();
    context.fireChannelReadComplete();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    state = State.CLOSING;
    super.channelInactive(context);
    memory.release();
    framingMemory.release();
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    if (state == State.HEAD) {
      receiveHead(in, out);
    }
    switch (state) {
      case ADMITTED -> decodeHead(context, in, out);
      case DENIED -> reject(new HeadMemoryException(), in, out);
      case BODY -> decodeBody(context, in, out);
      case CLOSING -> in.skipBytes(in.readableBytes());
      default -> {}
    }
  }

  private void receiveHead(ByteBuf in, List<Object> out) {
    boolean isWhole = scanner.scan(in);
    int maxBytes = flow.maxHeadBytes();
    if (scanner.bytes() - TOLERATED_HEAD_BYTES > maxBytes) {
      reject(tooLong(maxBytes), in, out);
    } else if (isWhole) {
      state = State.WAITING;
      long bytes = HeadMemory.bytesFor(scanner.lines(), scanner.bytes());
      memory.growWithin(missing(bytes), MAX_WAIT_FOR_MEMORY, this::onMemoryDecided);
    } else if (!memory.tryGrow(missing(in.readableBytes()))) {
      reject(new HeadMemoryException(), in, out);
    }
  }

  /** Returns the bytes that are still to be reserved for a head that takes {@code bytes}. */
  private long missing(long bytes) {
    return Math.max(0, HeadMemory.reservationFor(bytes) - memory.bytes());
  }

  private static TooLongHttpHeaderException tooLong(int maxBytes) {
    return new TooLongHttpHeaderException("the head is longer than " + maxBytes + " bytes");
  }

  private void onMemoryDecided(boolean isAvailable) {
    if (state == State.WAITING) {
      state = isAvailable ? State.ADMITTED : State.DENIED;
      resume();
    }
  }

  /** Passes on a request with an error in place of the one that is rejected. */
  private void reject(Exception cause, ByteBuf in, List<Object> out) {
    HttpMessage rejected = createInvalidMessage();
    rejected.setDecoderResult(DecoderResult.failure(cause));
    in.skipBytes(in.readableBytes());
    out.add(rejected);
    state = State.CLOSING;
  }

  private void decodeHead(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    scanner.reset();
    isResponseWritten = false;
    super.decode(context, in, out);
    if (out.isEmpty()) {
      reject(new IllegalArgumentException("the head is malformed"), in, out);
      return;
    }
    isLastRequest = out.get(0) instanceof HttpRequest head && !HttpUtil.isKeepAlive(head);
    onDecoded(out);
  }

  private void decodeBody(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    int before = in.readableBytes();
    super.decode(context, in, out);
    if (out.isEmpty()) {
      onFramingBytes(before - in.readableBytes(), in.readableBytes());
    } else {
      onDecoded(out);
    }
  }

  /**
   * Accounts for the sizes of chunks, their extensions and the trailers.
   *
   * @param bytes the bytes that were decoded
   * @param undecodedBytes the bytes of a line that is not whole
   */
  private void onFramingBytes(int bytes, int undecodedBytes) {
    framingBytes += bytes;
    int keptBytes = framingBytes + undecodedBytes;
    boolean isTooLong = keptBytes - TOLERATED_HEAD_BYTES > flow.maxHeadBytes();
    if (isTooLong || !framingMemory.tryGrow(bytes * HeadMemory.BYTES_PER_LINE)) {
      logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
          "event=body_framing_rejected bytes=%d", framingBytes);
      state = State.CLOSING;
      checkNotNull(context).close();
    }
  }

  private void onDecoded(List<Object> out) {
    framingBytes = 0;
    framingMemory.shrink(framingMemory.bytes());
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
    memory.release();
    memory = flow.memory().open();
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
