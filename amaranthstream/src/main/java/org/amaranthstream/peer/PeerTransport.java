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
 * Transport of the peer links over Netty: connects, accepts, encodes frames and authenticates.
 *
 * <p>Thread safe. The event loops only transfer frames; the decision thread handles them.
 */
final class PeerTransport implements PeerConnector {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int EVENT_LOOP_THREADS = 1;
  private static final int BACKLOG_CONNECTIONS = 128;
  private static final int LOG_INTERVAL_SECONDS = 1;

  private final HandshakeContext handshake;
  private final PeerTls tls;
  private final PeerLinkSettings settings;
  private final TimerService timers;
  private final EventLoopGroup eventLoops;
  private final AtomicInteger openInboundConnections = new AtomicInteger();
  private final Map<Channel, Long> unauthenticatedSinceNanos = new ConcurrentHashMap<>();
  private @Nullable Channel serverChannel;

  PeerTransport(HandshakeContext handshake, PeerTls tls, TimerService timers) {
    this.handshake = handshake;
    this.tls = tls;
    this.settings = handshake.settings();
    this.timers = timers;
    this.eventLoops =
        new MultiThreadIoEventLoopGroup(
            EVENT_LOOP_THREADS,
            new ThreadFactoryBuilder().setNameFormat("peer-%d").setDaemon(true).build(),
            NioIoHandler.newFactory());
  }

  /**
   * Starts to accept connections. Called once, when the process starts.
   *
   * @param newListener creates the listener of an accepted connection
   * @return the port, or the error of the bind
   */
  Result<Integer> listen(Supplier<ConnectionListener> newListener) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer(channel -> accept(channel, newListener)));
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
    serverChannel = bound.channel();
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

  private void accept(Channel channel, Supplier<ConnectionListener> newListener) {
    channel.closeFuture().addListener(unused -> onAcceptedClosed(channel));
    if (openInboundConnections.incrementAndGet() > settings.maxInboundLinks()) {
      logger.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
          "event=peer_connection_refused remote=%s reason=\"too many connections\"",
          channel.remoteAddress());
      channel.close();
      return;
    }
    unauthenticatedSinceNanos.put(channel, timers.nowNanos());
    tls.addServerHandler(channel);
    FrameDecoder decoder = new FrameDecoder();
    ConnectionListener listener =
        new AuthenticationListener(
            newListener.get(), () -> unauthenticatedSinceNanos.remove(channel));
    channel
        .pipeline()
        .addLast(decoder, FrameEncoder.INSTANCE)
        .addLast(new ServerHandshakeHandler(handshake, listener, decoder));
  }

  private void onAcceptedClosed(Channel channel) {
    openInboundConnections.decrementAndGet();
    unauthenticatedSinceNanos.remove(channel);
  }

  @Override
  public Connection connect(
      String host, int port, EntryVmId expected, ConnectionListener listener) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(eventLoops)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) settings.connectTimeout().toMillis())
            .handler(initializer(channel -> setUpClient(channel, expected, listener)));
    ChannelFuture future = bootstrap.connect(host, port);
    future.addListener(
        done -> {
          if (!done.isSuccess()) {
            listener.onClosed("connection failed: " + done.cause());
          }
        });
    return new NettyConnection(future.channel());
  }

  private void setUpClient(Channel channel, EntryVmId expected, ConnectionListener listener) {
    tls.addClientHandler(channel);
    FrameDecoder decoder = new FrameDecoder();
    channel
        .pipeline()
        .addLast(decoder, FrameEncoder.INSTANCE)
        .addLast(
            new ClientHandshakeHandler(handshake, expected, tls.isEnabled(), listener, decoder));
  }

  /** Closes accepted connections that have not authenticated within the connect timeout. */
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
    if (serverChannel != null) {
      serverChannel.close();
    }
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
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
