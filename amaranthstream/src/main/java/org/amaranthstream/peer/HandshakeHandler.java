package org.amaranthstream.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.peer.wire.Frame;
import org.jspecify.annotations.Nullable;

/**
 * Last handler of a connection: runs the handshake, then passes frames on. Anything unexpected ends
 * the connection. Used on the connection's event loop only.
 */
abstract class HandshakeHandler extends SimpleChannelInboundHandler<Frame> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOG_PERIOD_SECONDS = 1;

  private final Handshake handshake;
  private final LinkEvents events;
  private final FrameDecoder decoder;
  private @Nullable FrameChannel channel;
  private String closeReason = "closed by the other side";

  HandshakeHandler(Handshake handshake, LinkEvents events, FrameDecoder decoder) {
    this.handshake = handshake;
    this.events = events;
    this.decoder = decoder;
  }

  /** Takes a frame of the handshake. */
  abstract void onHandshakeFrame(ChannelHandlerContext ctx, Frame frame);

  final Handshake handshake() {
    return handshake;
  }

  /** The other side has proved that it is {@code peer}. */
  final void authenticated(ChannelHandlerContext ctx, LocalVm peer) {
    decoder.setMaxFrameBytes(handshake.settings().maxFrameBytes());
    channel = handshake.newChannel(ctx.channel(), peer);
    events.onReady(channel, peer);
  }

  /** Ends the connection. */
  final void refuse(ChannelHandlerContext ctx, String reason) {
    closeReason = reason;
    logger.atWarning().atMostEvery(LOG_PERIOD_SECONDS, TimeUnit.SECONDS).log(
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
    handshake.counters().addReceived(channel.locality(), decoder.takeBytes());
    events.onFrame(channel, frame);
  }

  @Override
  public final void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    refuse(ctx, cause.toString());
  }

  @Override
  public final void channelInactive(ChannelHandlerContext ctx) {
    events.onClosed(closeReason);
  }
}
