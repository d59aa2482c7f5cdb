package org.amaranthstream.ingress;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * An observer of the end of each response on a connection: the moment at which the socket has taken
 * its last byte. Interim responses are no end. Used on the event loop of the connection.
 */
final class ResponseObserver extends ChannelOutboundHandlerAdapter {
  private final Runnable onWritten;

  ResponseObserver(Runnable onWritten) {
    this.onWritten = onWritten;
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (!isEnd(message)) {
      context.write(message, promise);
      return;
    }
    ChannelPromise written = promise.unvoid();
    written.addListener(
        future -> {
          if (future.isSuccess()) {
            onWritten.run();
          }
        });
    context.write(message, written);
  }

  private static boolean isEnd(Object message) {
    boolean isInterim =
        message instanceof HttpResponse response
            && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    return message instanceof LastHttpContent && !isInterim;
  }
}
