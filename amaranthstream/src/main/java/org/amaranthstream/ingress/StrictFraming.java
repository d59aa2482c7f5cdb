package org.amaranthstream.ingress;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Makes a server refuse requests that say in two ways where their body ends.
 *
 * <p>Netty's decoder ignores the length of a chunked request, so that handlers do not see it, and
 * what follows is read as another request. Thread safe.
 */
public final class StrictFraming {
  private static final String DECODER = "httpDecoder";

  private StrictFraming() {}

  /**
   * Applies to a connection that was just accepted.
   *
   * @param options the options of the server
   */
  public static void apply(HttpConnection connection, HttpServerOptions options) {
    ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
    if (pipeline.get(DECODER) != null) {
      pipeline.replace(DECODER, DECODER, new StrictDecoder(options));
    }
  }

  private static final class StrictDecoder extends VertxHttpRequestDecoder {
    private StrictDecoder(HttpServerOptions options) {
      super(options);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
      throw new IllegalArgumentException("the request has a length and is chunked");
    }
  }
}
