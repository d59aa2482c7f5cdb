package org.amaranthstream.ingress;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import org.amaranthstream.memory.Reservation;

/**
 * Strict framing of HTTP requests: a server with it rejects requests that have both a {@code
 * Content-Length} and a chunked {@code Transfer-Encoding}, and requests whose head contains the
 * first line of another request. What a connection keeps is bounded by a {@link RequestFlow}.
 *
 * <p>Netty's decoder removes the {@code Content-Length} of a chunked request, so handlers cannot
 * detect it, and the bytes that follow are read as another request. Thread safe.
 */
public final class StrictFraming {
  private static final String DECODER = "httpDecoder";

  private static final int MIN_READ_BYTES = 64;
  private static final int INITIAL_READ_BYTES = 2 * 1_024;
  private static final int MAX_READ_BYTES = 16 * 1_024;

  private StrictFraming() {}

  /**
   * Applies strict framing to a connection that was just accepted.
   *
   * @param options the options of the server
   */
  public static void apply(HttpConnection connection, HttpServerOptions options, RequestFlow flow) {
    Channel channel = Channels.of(connection);
    ChannelPipeline pipeline = channel.pipeline();
    if (pipeline.get(DECODER) == null) {
      return;
    }
    RequestDecoder decoder = new RequestDecoder(options, flow);
    pipeline.replace(DECODER, DECODER, decoder);
    pipeline.addAfter(DECODER, null, new RequestHeadCheck());
    pipeline.addBefore(
        pipeline.lastContext().name(), null, new ResponseObserver(decoder::onResponseWritten));
    channel
        .config()
        .setRecvByteBufAllocator(
            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES));
  }

  /**
   * Returns the memory of the current request on a connection with strict framing: its head is
   * reserved. It is released once the response is written or the connection is closed.
   */
  public static Reservation memoryOf(HttpConnection connection) {
    return RequestDecoder.memoryOf(Channels.of(connection));
  }
}
