package org.amaranthstream.standins.link;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A network link in front of one server: forwards TCP with a latency, counts bytes, can be cut.
 *
 * <p>Thread safe.
 *
 * <pre>{@code
 * LinkStandin link = LinkStandin.builder(vertx).target("127.0.0.1", 9000).latencyMs(8).start();
 * connectTo(link.port());
 * link.setState(LinkState.SILENT);
 * }</pre>
 */
public final class LinkStandin implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final int START_SECONDS = 10;

  private final Builder options;
  private final Vertx vertx;
  private final NetClient client;
  private final NetServer server;
  private final Set<Pipe> pipes = ConcurrentHashMap.newKeySet();
  private final AtomicLong forwardedBytes = new AtomicLong();
  private volatile LinkState state = LinkState.UP;

  private LinkStandin(Builder options) {
    this.options = options;
    this.vertx = options.vertx;
    NetClientOptions clientOptions = new NetClientOptions();
    options.sourceHost.ifPresent(clientOptions::setLocalAddress);
    this.client = vertx.createNetClient(clientOptions);
    this.server = vertx.createNetServer().connectHandler(this::accept);
  }

  /** Returns a builder of a link whose work is done on {@code vertx}. */
  public static Builder builder(Vertx vertx) {
    return new Builder(vertx);
  }

  /** Returns the port to connect to. */
  public int port() {
    return server.actualPort();
  }

  /** Returns the number of bytes carried, both ways. */
  public long forwardedBytes() {
    return forwardedBytes.get();
  }

  /** Sets what it does from now on. */
  public void setState(LinkState newState) {
    state = newState;
    if (newState == LinkState.CLOSED) {
      pipes.forEach(Pipe::close);
    } else if (newState == LinkState.UP) {
      pipes.stream().filter(Pipe::hasLostBytes).forEach(Pipe::close);
    }
  }

  @Override
  public void close() {
    pipes.forEach(Pipe::close);
    server.close();
    client.close();
  }

  private void accept(NetSocket near) {
    if (state == LinkState.CLOSED) {
      near.close();
      return;
    }
    near.pause();
    client
        .connect(options.port, options.host)
        .onFailure(e -> near.close())
        .onSuccess(far -> join(near, far));
  }

  private void join(NetSocket near, NetSocket far) {
    Pipe pipe = new Pipe(this, near, far);
    pipes.add(pipe);
    pipe.open();
  }

  Vertx vertx() {
    return vertx;
  }

  int latencyMs() {
    return options.latencyMs;
  }

  /** Counts bytes that arrive; false if they are dropped. */
  boolean take(int count) {
    if (state != LinkState.UP) {
      return false;
    }
    forwardedBytes.addAndGet(count);
    return true;
  }

  void remove(Pipe pipe) {
    pipes.remove(pipe);
  }

  /** Builds a link; no latency by default. */
  public static final class Builder {
    private final Vertx vertx;
    private String host = HOST;
    private int port;
    private int latencyMs;
    private Optional<String> sourceHost = Optional.empty();

    private Builder(Vertx vertx) {
      this.vertx = vertx;
    }

    /** Sets the server that it leads to. */
    @CanIgnoreReturnValue
    public Builder target(String host, int port) {
      this.host = host;
      this.port = port;
      return this;
    }

    /** Sets the one-way latency, in ms. */
    @CanIgnoreReturnValue
    public Builder latencyMs(int latencyMs) {
      this.latencyMs = latencyMs;
      return this;
    }

    /** Sets the address that the server sees connections come from. */
    @CanIgnoreReturnValue
    public Builder sourceHost(String sourceHost) {
      this.sourceHost = Optional.of(sourceHost);
      return this;
    }

    /** Starts it at a free port. */
    public LinkStandin start() {
      LinkStandin link = new LinkStandin(this);
      link.server
          .listen(0, HOST)
          .toCompletionStage()
          .toCompletableFuture()
          .orTimeout(START_SECONDS, TimeUnit.SECONDS)
          .join();
      return link;
    }
  }
}
