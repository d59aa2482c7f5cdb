package org.amaranthstream.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Relay of TCP connections to a target port that can stall or drop traffic without closing. */
final class TcpRelay implements AutoCloseable {
  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<Channel> clientChannels = new CopyOnWriteArrayList<>();
  private final List<RelayHandler> handlers = new CopyOnWriteArrayList<>();
  private final AtomicInteger accepted = new AtomicInteger();
  private final int targetPort;
  private final int port;

  TcpRelay(int targetPort) {
    this.targetPort = targetPort;
    Channel listener =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.SO_RCVBUF, 4096)
            .childHandler(new ClientInitializer())
            .bind("127.0.0.1", 0)
            .syncUninterruptibly()
            .channel();
    this.port = ((InetSocketAddress) listener.localAddress()).getPort();
  }

  int port() {
    return port;
  }

  /** Returns the number of connections that were accepted. */
  int accepted() {
    return accepted.get();
  }

  /** Stops reading from the clients of the current connections. */
  void stopReadingFromClients() {
    clientChannels.forEach(channel -> channel.config().setAutoRead(false));
  }

  /** Drops all further bytes in both directions of the current connections. */
  void dropTraffic() {
    handlers.forEach(handler -> handler.dropping = true);
  }

  @Override
  public void close() {
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private final class ClientInitializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel client) {
      accepted.incrementAndGet();
      RelayHandler toClient = new RelayHandler(client);
      ChannelFuture target =
          new Bootstrap()
              .group(client.eventLoop())
              .channel(NioSocketChannel.class)
              .handler(toClient)
              .connect("127.0.0.1", targetPort);
      target.addListener(
          unused -> {
            RelayHandler toTarget = new RelayHandler(target.channel());
            clientChannels.add(client);
            handlers.addAll(List.of(toClient, toTarget));
            client.pipeline().addLast(toTarget);
            client.config().setAutoRead(true);
          });
    }
  }

  @ChannelHandler.Sharable
  private static final class RelayHandler extends ChannelInboundHandlerAdapter {
    private final Channel other;
    private volatile boolean dropping;

    private RelayHandler(Channel other) {
      this.other = other;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (dropping) {
        ReferenceCountUtil.release(message);
      } else {
        other.writeAndFlush(message);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      other.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
