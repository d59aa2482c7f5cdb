package org.amaranthstream.ingress;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.vertx.core.http.HttpConnection;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.amaranthstream.routing.RequestLimits;
import org.amaranthstream.time.TimerService;

/**
 * The open connections of a server's callers: their number and their timeouts.
 *
 * <p>A connection is closed if it is idle for too long, if its caller sends a request too slowly,
 * or if its caller takes no byte of a response for too long. A connection whose caller waits for a
 * response has no timeout. If there are too many connections, a new one displaces the one without a
 * request that has waited longest; if all have a request, the new one is closed.
 *
 * <p>Changed limits also apply to open connections. Used on the event loop of the connections.
 *
 * <pre>{@code
 * OpenConnections connections = OpenConnections.create(timers, () -> limits, maxConnections);
 * connections.start();
 * server.connectionHandler(connections::watch);
 * }</pre>
 */
public final class OpenConnections {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

  private final TimerService timers;
  private final Supplier<RequestLimits> limits;
  private final int maxConnections;

  /** In the order in which the connections were opened or ended their last response. */
  private final Map<HttpConnection, ConnectionPhaseTracker> trackers = new LinkedHashMap<>();

  private OpenConnections(TimerService timers, Supplier<RequestLimits> limits, int maxConnections) {
    this.timers = timers;
    this.limits = limits;
    this.maxConnections = maxConnections;
  }

  /** Returns connections whose timeouts are not enforced until {@link #start} is called. */
  public static OpenConnections create(
      TimerService timers, Supplier<RequestLimits> limits, int maxConnections) {
    checkArgument(maxConnections > 0, "maxConnections is %s, expected > 0", maxConnections);
    return new OpenConnections(
        checkNotNull(timers, "timers"), checkNotNull(limits, "limits"), maxConnections);
  }

  /** Starts to enforce the timeouts. */
  public void start() {
    timers.every(CHECK_INTERVAL, this::check);
  }

  /** Adds a connection that was just accepted. It is removed when it is closed. */
  public void watch(HttpConnection connection) {
    if (trackers.size() >= maxConnections && !displaceOne()) {
      logDisplaced(connection, "all connections have requests");
      connection.close();
      return;
    }
    ConnectionPhaseTracker tracker = new ConnectionPhaseTracker(timers.nowNanos());
    trackers.put(connection, tracker);
    Channel channel = Channels.of(connection);
    channel.pipeline().addFirst(new ByteObserver(tracker));
    channel.closeFuture().addListener(unused -> trackers.remove(connection));
  }

  /** Closes a connection in favour of a new one; returns false if each of them has a request. */
  private boolean displaceOne() {
    for (Map.Entry<HttpConnection, ConnectionPhaseTracker> entry : trackers.entrySet()) {
      if (entry.getValue().isWithoutRequest()) {
        HttpConnection connection = entry.getKey();
        trackers.remove(connection);
        logDisplaced(connection, "it waited longest without a request");
        connection.close();
        return true;
      }
    }
    return false;
  }

  private void logDisplaced(HttpConnection connection, String reason) {
    logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
        "event=caller_connection_displaced caller=%s open=%d reason=\"%s\"",
        connection.remoteAddress(), trackers.size(), reason);
  }

  /** Records that the head of a request on {@code connection} is complete. */
  public void onHeadEnd(HttpConnection connection) {
    trackerOf(connection).onHeadEnd(timers.nowNanos());
  }

  /**
   * Sets the time for which the body of the current request may be received.
   *
   * @param task runs once if it takes longer
   */
  public void setBodyTimeout(HttpConnection connection, Duration timeout, Runnable task) {
    trackerOf(connection).setBodyTimeout(timeout, task);
  }

  /** Records that the body of a request is complete or will not be read any further. */
  public void onBodyEnd(HttpConnection connection) {
    trackerOf(connection).onBodyEnd(timers.nowNanos());
  }

  /** Records that the response on {@code connection} is complete. */
  public void onResponseEnd(HttpConnection connection) {
    ConnectionPhaseTracker tracker = trackers.remove(connection);
    if (tracker != null) {
      trackers.put(connection, tracker);
      tracker.onResponseEnd(timers.nowNanos());
    }
  }

  /** Records that {@code connection} has taken the whole response. */
  public void onResponseWritten(HttpConnection connection) {
    trackerOf(connection).onResponseWritten(timers.nowNanos());
  }

  /** Returns the tracker of {@code connection}, or an unused one if the connection is closed. */
  private ConnectionPhaseTracker trackerOf(HttpConnection connection) {
    ConnectionPhaseTracker tracker = trackers.get(connection);
    return tracker == null ? new ConnectionPhaseTracker(timers.nowNanos()) : tracker;
  }

  private void check() {
    long now = timers.nowNanos();
    ImmutableMap.copyOf(trackers)
        .forEach(
            (connection, tracker) -> {
              tracker.onPendingWrites(pendingWrites(Channels.of(connection)), now);
              tracker.checkBodyTimeout(now);
              if (tracker.isTimedOut(now, limits.get())) {
                logger.atFine().log("event=caller_connection_timed_out phase=%s", tracker);
                connection.close();
              }
            });
  }

  /** Returns a number that changes with each byte that the socket takes. */
  private static long pendingWrites(Channel channel) {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    if (buffer == null || buffer.isEmpty()) {
      return ConnectionPhaseTracker.NOTHING_PENDING;
    }
    return 1 + Objects.hash(buffer.totalPendingWriteBytes(), buffer.currentProgress());
  }

  private final class ByteObserver extends ChannelInboundHandlerAdapter {
    private final ConnectionPhaseTracker tracker;

    private ByteObserver(ConnectionPhaseTracker tracker) {
      this.tracker = tracker;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      tracker.onBytes(timers.nowNanos());
      context.fireChannelRead(message);
    }
  }
}
