package org.amaranthstream.peer;

import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Netty's side of the peer links: connects, accepts, frames and authenticates.
 *
 * <p>Thread safe. Its event loops only move frames; decisions are taken on the decision thread.
 */
final class PeerTransport implements PeerConnector {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOOP_THREADS = 1;
  private static final int BACKLOG_CONNECTIONS = 128;
  private static final int LOG_PERIOD_SECONDS = 1;

  private final Handshake handshake;
  private final PeerTls tls;
  private final PeerSettings settings;
  private final TimerService timers;
  private final EventLoopGroup loops;
  private final AtomicInteger accepted = new AtomicInteger();
  private final Map<Channel, Long> unauthenticatedSinceNanos = new ConcurrentHashMap<>();
  private @Nullable Channel listener;

  PeerTransport(Handshake handshake, PeerTls tls, TimerService timers) {
    this.handshake = handshake;
    this.tls = tls;
    this.settings = handshake.settings();
    this.timers = timers;
    this.loops =
        new MultiThreadIoEventLoopGroup(
            LOOP_THREADS,
            new ThreadFactoryBuilder().setNameFormat("peer-%d").setDaemon(true).build(),
            NioIoHandler.newFactory());
  }

  /** Starts to accept connections; returns the port. Called once, at the start of the process. */
  Result<Integer> listen(Supplier<LinkEvents> newEvents) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer(channel -> accept(channel, newEvents)));
    ChannelFuture bound = bootstrap.bind(settings.host(), settings.port()).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      return Result.failure(
          ResultCode.INVALID_SETTINGS,
          "cannot listen for peers on "
              + settings.host()
              + ":"
              + settings.port()
              + ": "
              + bound.cause());
    }
    listener = bound.channel();
    return Result.success(((InetSocketAddress) bound.channel().localAddress()).getPort());
  }

  private static ChannelInitializer<Channel> initializer(Consumer<Channel> setup) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        setup.accept(channel);
      }
    };
  }

  private void accept(Channel channel, Supplier<LinkEvents> newEvents) {
    channel.closeFuture().addListener(unused -> forget(channel));
    if (accepted.incrementAndGet() > settings.maxInboundLinks()) {
      logger.atWarning().atMostEvery(LOG_PERIOD_SECONDS, TimeUnit.SECONDS).log(
          "event=peer_connection_refused remote=%s reason=\"too many connections\"",
          channel.remoteAddress());
      channel.close();
      return;
    }
    unauthenticatedSinceNanos.put(channel, timers.nowNanos());
    tls.addServerHandler(channel);
    FrameDecoder decoder = new FrameDecoder();
    LinkEvents events =
        new AuthenticatedEvents(newEvents.get(), () -> unauthenticatedSinceNanos.remove(channel));
    channel
        .pipeline()
        .addLast(decoder, FrameEncoder.INSTANCE)
        .addLast(new ServerHandshakeHandler(handshake, events, decoder));
  }

  private void forget(Channel channel) {
    accepted.decrementAndGet();
    unauthenticatedSinceNanos.remove(channel);
  }

  @Override
  public Connection connect(String host, int port, EntryVmId expected, LinkEvents events) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loops)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) settings.connectTimeout().toMillis())
            .handler(initializer(channel -> setUpClient(channel, expected, events)));
    ChannelFuture future = bootstrap.connect(host, port);
    future.addListener(
        done -> {
          if (!done.isSuccess()) {
            events.onClosed("cannot connect: " + done.cause());
          }
        });
    return new NettyConnection(future.channel());
  }

  private void setUpClient(Channel channel, EntryVmId expected, LinkEvents events) {
    tls.addClientHandler(channel);
    FrameDecoder decoder = new FrameDecoder();
    channel
        .pipeline()
        .addLast(decoder, FrameEncoder.INSTANCE)
        .addLast(new ClientHandshakeHandler(handshake, expected, tls.isEnabled(), events, decoder));
  }

  /** Closes accepted connections that did not prove themselves in time. */
  void tick() {
    long limit = settings.connectTimeout().toNanos();
    long now = timers.nowNanos();
    unauthenticatedSinceNanos.forEach(
        (channel, since) -> {
          if (now - since >= limit) {
            channel.close();
          }
        });
  }

  void close() {
    if (listener != null) {
      listener.close();
    }
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private record NettyConnection(Channel channel) implements Connection {
    @Override
    public void close() {
      channel.close();
    }

    @Override
    public boolean isOpen() {
      return channel.isOpen();
    }
  }
}
