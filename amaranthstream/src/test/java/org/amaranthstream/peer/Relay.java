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

/** Passes bytes between a client and a target, and can stop doing so without closing. */
final class Relay implements AutoCloseable {
  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<Channel> towardsClient = new CopyOnWriteArrayList<>();
  private final List<Pass> passes = new CopyOnWriteArrayList<>();
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

  /** Drops from now on what either end of the connections of now sends. */
  void swallow() {
    passes.forEach(pass -> pass.swallowing = true);
  }

  @Override
  public void close() {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private final class Initializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel client) {
      accepted.incrementAndGet();
      Pass toClient = new Pass(client);
      ChannelFuture target =
          new Bootstrap()
              .group(client.eventLoop())
              .channel(NioSocketChannel.class)
              .handler(toClient)
              .connect("127.0.0.1", targetPort);
      target.addListener(
          unused -> {
            Pass toTarget = new Pass(target.channel());
            towardsClient.add(client);
            passes.addAll(List.of(toClient, toTarget));
            client.pipeline().addLast(toTarget);
            client.config().setAutoRead(true);
          });
    }
  }

  @ChannelHandler.Sharable
  private static final class Pass extends ChannelInboundHandlerAdapter {
    private final Channel other;
    private volatile boolean swallowing;

    private Pass(Channel other) {
      this.other = other;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (swallowing) {
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
