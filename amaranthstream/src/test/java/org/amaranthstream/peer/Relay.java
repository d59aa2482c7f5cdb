package org.amaranthstream.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
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
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Passes bytes between a client and a target, and can stop doing so without closing. */
final class Relay implements AutoCloseable {
  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<Channel> towardsClient = new CopyOnWriteArrayList<>();
  private final List<Channel> towardsTarget = new CopyOnWriteArrayList<>();
  private final AtomicInteger accepted = new AtomicInteger();
  private final int targetPort;
  private final int port;

  Relay(int targetPort) {
    this.targetPort = targetPort;
    Channel listener =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.SO_RCVBUF, 4096)
            .childHandler(new Initializer())
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

  /** Stops to read what the client of the connections of now sends. */
  void holdFromClient() {
    towardsClient.forEach(channel -> channel.config().setAutoRead(false));
  }

  /** Stops to read what the target of the connections of now sends. */
  void holdFromTarget() {
    towardsTarget.forEach(channel -> channel.config().setAutoRead(false));
  }

  @Override
  public void close() {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private final class Initializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel client) {
      accepted.incrementAndGet();
      new Bootstrap()
          .group(client.eventLoop())
          .channel(NioSocketChannel.class)
          .handler(new Pass(client))
          .connect("127.0.0.1", targetPort)
          .addListener(
              done -> {
                Channel target = ((io.netty.channel.ChannelFuture) done).channel();
                towardsClient.add(client);
                towardsTarget.add(target);
                client.pipeline().addLast(new Pass(target));
                client.config().setAutoRead(true);
              });
    }
  }

  @ChannelHandler.Sharable
  private static final class Pass extends ChannelInboundHandlerAdapter {
    private final Channel other;

    private Pass(Channel other) {
      this.other = other;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      other.writeAndFlush(message);
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
