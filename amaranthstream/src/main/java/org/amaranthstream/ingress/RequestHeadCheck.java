package org.amaranthstream.ingress;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.regex.Pattern;

/**
 * Handler of one connection that marks a request as malformed whose head contains the first line of
 * another request. The sender stopped within the one and began the other, so that what was decoded
 * is made of both. Nothing is read behind a malformed request.
 */
final class RequestHeadCheck extends ChannelInboundHandlerAdapter {
  private static final Pattern REQUEST_LINE =
      Pattern.compile("(?<![A-Z])[A-Z]++ (?:/|https?:)\\S*+ HTTP/1\\.[01]$");

  private boolean isMalformed;

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (isMalformed) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (message instanceof HttpRequest request && request.decoderResult().isSuccess()) {
      isMalformed = containsRequestLine(request);
      if (isMalformed) {
        request.setDecoderResult(
            DecoderResult.failure(
                new IllegalArgumentException("the head contains the head of another request")));
      }
    }
    context.fireChannelRead(message);
  }

  private static boolean containsRequestLine(HttpRequest request) {
    return request.headers().entries().stream()
        .anyMatch(header -> containsRequestLine(header.getValue()));
  }

  /** Returns true if the value of a header ends with the first line of a request. */
  static boolean containsRequestLine(CharSequence value) {
    return REQUEST_LINE.matcher(value).find();
  }
}
