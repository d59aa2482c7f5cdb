package org.amaranthstream.ingress;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Strict framing of HTTP requests: a server with it rejects requests that have both a {@code
 * Content-Length} and a chunked {@code Transfer-Encoding}, and requests whose head contains the
 * first line of another request.
 *
 * <p>Netty's decoder removes the {@code Content-Length} of a chunked request, so handlers cannot
 * detect it, and the bytes that follow are read as another request. Thread safe.
 */
public final class StrictFraming {
  private static final String DECODER = "httpDecoder";

  private StrictFraming() {}

  /**
   * Applies strict framing to a connection that was just accepted.
   *
   * @param options the options of the server
   */
  public static void apply(HttpConnection connection, HttpServerOptions options) {
    ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
    if (pipeline.get(DECODER) != null) {
      pipeline.replace(DECODER, DECODER, new StrictDecoder(options));
      pipeline.addAfter(DECODER, null, new RequestHeadCheck());
    }
  }

  private static final class StrictDecoder extends VertxHttpRequestDecoder {
    private StrictDecoder(HttpServerOptions options) {
      super(options);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
      throw new IllegalArgumentException(
          "the request has both a Content-Length and a chunked Transfer-Encoding");
    }
  }
}
