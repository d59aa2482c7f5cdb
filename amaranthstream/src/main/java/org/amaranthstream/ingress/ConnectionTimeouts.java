package org.amaranthstream.ingress;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.amaranthstream.routing.RequestLimits;
import org.amaranthstream.time.TimerService;

/**
 * Closes callers' connections that are idle for too long, or whose caller is too slow in sending a
 * request. A connection whose caller waits for an answer stays.
 *
 * <p>The limits may change while connections are open. Used on the event loop of the connections.
 *
 * <pre>{@code
 * ConnectionTimeouts timeouts = ConnectionTimeouts.create(timers, () -> limits);
 * timeouts.start();
 * server.connectionHandler(timeouts::watch);
 * }</pre>
 */
public final class ConnectionTimeouts {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration CHECK_PERIOD = Duration.ofMillis(500);

  private final TimerService timers;
  private final Supplier<RequestLimits> limits;
  private final Map<HttpConnection, ConnectionClock> clocks = new HashMap<>();

  private ConnectionTimeouts(TimerService timers, Supplier<RequestLimits> limits) {
    this.timers = timers;
    this.limits = limits;
  }

  /** Returns timeouts that are not checked until {@link #start} is called. */
  public static ConnectionTimeouts create(TimerService timers, Supplier<RequestLimits> limits) {
    return new ConnectionTimeouts(checkNotNull(timers, "timers"), checkNotNull(limits, "limits"));
  }

  /** Starts to close connections. */
  public void start() {
    timers.every(CHECK_PERIOD, this::check);
  }

  /** Watches a connection that was just accepted, until it is closed. */
  public void watch(HttpConnection connection) {
    ConnectionClock clock = new ConnectionClock(timers.nowNanos());
    clocks.put(connection, clock);
    var channel = ((ConnectionBase) connection).channel();
    channel.pipeline().addFirst(new ByteObserver(clock));
    channel.closeFuture().addListener(unused -> clocks.remove(connection));
  }

  /** The head of a request on {@code connection} is whole. */
  public void onHead(HttpConnection connection) {
    clock(connection).onHead(timers.nowNanos());
  }

  /** The body of a request on {@code connection} is whole or is not read further. */
  public void onBody(HttpConnection connection) {
    clock(connection).onBody(timers.nowNanos());
  }

  /** The request on {@code connection} was answered. */
  public void onAnswered(HttpConnection connection) {
    clock(connection).onAnswered(timers.nowNanos());
  }

  /** A connection that is closed already gets a clock that nobody looks at. */
  private ConnectionClock clock(HttpConnection connection) {
    ConnectionClock clock = clocks.get(connection);
    return clock == null ? new ConnectionClock(timers.nowNanos()) : clock;
  }

  private void check() {
    long now = timers.nowNanos();
    ImmutableMap.copyOf(clocks)
        .forEach(
            (connection, clock) -> {
              if (clock.isOverdue(now, limits.get())) {
                logger.atFine().log("event=caller_connection_timed_out phase=%s", clock);
                connection.close();
              }
            });
  }

  private final class ByteObserver extends ChannelInboundHandlerAdapter {
    private final ConnectionClock clock;

    private ByteObserver(ConnectionClock clock) {
      this.clock = clock;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      clock.onBytes(timers.nowNanos());
      context.fireChannelRead(message);
    }
  }
}
