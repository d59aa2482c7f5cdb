package org.amaranthstream.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.peer.wire.Frame;
import org.jspecify.annotations.Nullable;

/**
 * Last handler in the pipeline of a connection. It runs the handshake, then passes each frame to
 * the listener. An unexpected frame or an exception closes the connection.
 *
 * <p>Used on the event loop of the connection only.
 */
abstract class HandshakeHandler extends SimpleChannelInboundHandler<Frame> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOG_INTERVAL_SECONDS = 1;

  private final HandshakeContext handshake;
  private final ConnectionListener listener;
  private final FrameDecoder decoder;
  private @Nullable FrameChannel channel;
  private String closeReason = "connection closed by the remote side";

  HandshakeHandler(HandshakeContext handshake, ConnectionListener listener, FrameDecoder decoder) {
    this.handshake = handshake;
    this.listener = listener;
    this.decoder = decoder;
  }

  /** Handles a frame that arrives before the handshake is complete. */
  abstract void onHandshakeFrame(ChannelHandlerContext ctx, Frame frame);

  final HandshakeContext handshake() {
    return handshake;
  }

  /** Ends the handshake after the remote side has authenticated as {@code peer}. */
  final void completeHandshake(ChannelHandlerContext ctx, LocalVm peer) {
    decoder.setMaxFrameBytes(handshake.settings().maxFrameBytes());
    channel = handshake.newChannel(ctx.channel(), peer);
    listener.onReady(channel, peer);
  }

  /** Logs {@code reason} and closes the connection. */
  final void reject(ChannelHandlerContext ctx, String reason) {
    closeReason = reason;
    logger.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
        "event=peer_connection_refused remote=%s reason=\"%s\"",
        ctx.channel().remoteAddress(), reason);
    ctx.close();
  }

  @Override
  protected final void channelRead0(ChannelHandlerContext ctx, Frame frame) {
    if (!ctx.channel().isOpen()) {
      return;
    }
    if (channel == null) {
      onHandshakeFrame(ctx, frame);
      return;
    }
    handshake.counters().addReceived(channel.locality(), decoder.takeDecodedBytes());
    listener.onFrame(channel, frame);
  }

  @Override
  public final void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    reject(ctx, cause.toString());
  }

  @Override
  public final void channelInactive(ChannelHandlerContext ctx) {
    listener.onClosed(closeReason);
  }
}
