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
 * TCP proxy in front of one server that simulates a network link: adds latency, counts bytes, and
 * injects partitions.
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
  private static final int START_TIMEOUT_SECONDS = 10;

  private final Builder options;
  private final Vertx vertx;
  private final NetClient client;
  private final NetServer server;
  private final Set<LinkConnection> connections = ConcurrentHashMap.newKeySet();
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

  /** Returns a new builder of a link that runs on {@code vertx}. */
  public static Builder builder(Vertx vertx) {
    return new Builder(vertx);
  }

  /** Returns the local port that clients connect to. */
  public int port() {
    return server.actualPort();
  }

  /** Returns the number of bytes forwarded, in both directions together. */
  public long forwardedBytes() {
    return forwardedBytes.get();
  }

  /**
   * Changes the state. {@link LinkState#CLOSED} closes all connections; {@link LinkState#UP} closes
   * those that lost bytes.
   */
  public void setState(LinkState newState) {
    state = newState;
    if (newState == LinkState.CLOSED) {
      connections.forEach(LinkConnection::close);
    } else if (newState == LinkState.UP) {
      connections.stream().filter(LinkConnection::hasLostBytes).forEach(LinkConnection::close);
    }
  }

  @Override
  public void close() {
    connections.forEach(LinkConnection::close);
    server.close();
    client.close();
  }

  private void accept(NetSocket clientSocket) {
    if (state == LinkState.CLOSED) {
      clientSocket.close();
      return;
    }
    clientSocket.pause();
    client
        .connect(options.port, options.host)
        .onFailure(e -> clientSocket.close())
        .onSuccess(serverSocket -> openConnection(clientSocket, serverSocket));
  }

  private void openConnection(NetSocket clientSocket, NetSocket serverSocket) {
    LinkConnection connection = new LinkConnection(this, clientSocket, serverSocket);
    connections.add(connection);
    connection.open();
  }

  Vertx vertx() {
    return vertx;
  }

  int latencyMs() {
    return options.latencyMs;
  }

  /** Counts {@code count} bytes and returns true if the link is up; otherwise drops them. */
  boolean countIfForwarded(int count) {
    if (state != LinkState.UP) {
      return false;
    }
    forwardedBytes.addAndGet(count);
    return true;
  }

  void remove(LinkConnection connection) {
    connections.remove(connection);
  }

  /** Builder of links, without latency by default. Not thread safe. */
  public static final class Builder {
    private final Vertx vertx;
    private String host = HOST;
    private int port;
    private int latencyMs;
    private Optional<String> sourceHost = Optional.empty();

    private Builder(Vertx vertx) {
      this.vertx = vertx;
    }

    /** Sets the address of the server to forward to. */
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

    /** Sets the local address of connections to the server, which the server sees as the peer. */
    @CanIgnoreReturnValue
    public Builder sourceHost(String sourceHost) {
      this.sourceHost = Optional.of(sourceHost);
      return this;
    }

    /** Starts the link on a free port of the loopback address. */
    public LinkStandin start() {
      LinkStandin link = new LinkStandin(this);
      link.server
          .listen(0, HOST)
          .toCompletionStage()
          .toCompletableFuture()
          .orTimeout(START_TIMEOUT_SECONDS, TimeUnit.SECONDS)
          .join();
      return link;
    }
  }
}
