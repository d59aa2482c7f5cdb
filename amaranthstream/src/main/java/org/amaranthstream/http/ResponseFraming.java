package org.amaranthstream.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.nio.channels.ClosedChannelException;
import java.util.Locale;

/**
 * Strict framing of the responses on the connections of an HTTP client, below its decoder.
 *
 * <p>Only bytes of whole heads and of the bodies that belong to them reach the decoder. A
 * connection is closed at the first byte that is part of no response: one that arrives while no
 * request waits, or one that shows that a response was joined to the rest of another. The request
 * that waits fails with a {@link MalformedResponseException}; the server may have run it. Thread
 * safe; the listener is called on the event loop of the connection.
 */
public final class ResponseFraming {
  private final ImmutableSet<String> singleFields;
  private final Listener listener;

  /** Listener to faults of connections. */
  public interface Listener {
    /**
     * Called for the first bytes on a connection that are part of no response.
     *
     * @param connection the connection
     * @param fault the bytes, and when they arrived
     */
    void onFault(HttpConnection connection, FramingFault fault);
  }

  private ResponseFraming(ImmutableSet<String> singleFields, Listener listener) {
    this.singleFields = singleFields;
    this.listener = listener;
  }

  /**
   * Returns a framing.
   *
   * @param singleFields the names of the fields, beside those that delimit the body, that the head
   *     of a response has once at most
   * @param listener listens to the faults
   */
  public static ResponseFraming create(ImmutableSet<String> singleFields, Listener listener) {
    checkNotNull(listener, "listener");
    return new ResponseFraming(
        singleFields.stream()
            .map(name -> name.toLowerCase(Locale.ROOT))
            .collect(ImmutableSet.toImmutableSet()),
        listener);
  }

  /** Applies the framing to a connection that the client has just opened. */
  public void apply(HttpConnection connection) {
    Channel channel = ((ConnectionBase) connection).channel();
    ChannelPipeline pipeline = channel.pipeline();
    ChannelHandlerContext codec = pipeline.context(HttpClientCodec.class);
    ResponseFramer framer = new ResponseFramer(singleFields);
    ResponseFramingHandler handler =
        new ResponseFramingHandler(framer, fault -> listener.onFault(connection, fault));
    pipeline.addBefore(codec.name(), null, handler);
    pipeline.addAfter(codec.name(), null, new RequestObserver(framer, handler));
  }

  /**
   * Returns false if bytes on the connection were part of no response. It is closed soon, and a
   * request on it is not written.
   */
  public static boolean mayCarryRequests(HttpConnection connection) {
    ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
    ResponseFramingHandler handler = pipeline.get(ResponseFramingHandler.class);
    return handler == null || !handler.hasFault();
  }

  /** Records the requests that the client writes, and writes none to a connection with a fault. */
  private static final class RequestObserver extends ChannelOutboundHandlerAdapter {
    private final ResponseFramer framer;
    private final ResponseFramingHandler handler;

    private RequestObserver(ResponseFramer framer, ResponseFramingHandler handler) {
      this.framer = framer;
      this.handler = handler;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      if (message instanceof HttpRequest request) {
        if (handler.hasFault()) {
          ReferenceCountUtil.release(message);
          promise.tryFailure(new ClosedChannelException());
          return;
        }
        framer.onRequest(request.method().equals(HttpMethod.HEAD));
      }
      context.write(message, promise);
    }
  }
}
