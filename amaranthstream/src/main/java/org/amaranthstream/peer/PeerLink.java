package org.amaranthstream.peer;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.peer.wire.Frame;
import org.amaranthstream.ring.Duty;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Outbound link to one entry VM. It reconnects with backoff, and replaces an open connection on
 * which no frame is received within the keep-alive timeout.
 *
 * <p>Used on the decision thread only. The events of connections are passed to that thread.
 */
final class PeerLink {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final EntryVmId target;
  private final PeerConnector connector;
  private final PeerLinkSettings settings;
  private final TimerService timers;
  private final Duty decisions;
  private final Backoff backoff;
  private final LinkListener listener;
  private String host;
  private int port;
  private LinkPhase phase = LinkPhase.CLOSED;
  private int connectionNumber;
  private PeerConnector.@Nullable Connection connection;
  private @Nullable FrameChannel channel;
  private @Nullable LocalVm peer;
  private long connectingSinceNanos;
  private long lastReceivedNanos;
  private long ackedSequence;
  private long lastUsedNanos;
  private long retryAtNanos;
  private int lostConnections;
  private String lastLoss = "";

  PeerLink(
      EntryVmId target,
      String host,
      int port,
      PeerConnector connector,
      PeerLinkSettings settings,
      TimerService timers,
      Duty decisions,
      Backoff backoff,
      LinkListener listener) {
    this.target = target;
    this.host = host;
    this.port = port;
    this.connector = connector;
    this.settings = settings;
    this.timers = timers;
    this.decisions = decisions;
    this.backoff = backoff;
    this.listener = listener;
    this.lastUsedNanos = timers.nowNanos();
  }

  EntryVmId target() {
    return target;
  }

  LinkPhase phase() {
    return phase;
  }

  boolean isReady() {
    return phase == LinkPhase.READY;
  }

  /** Returns a number that increases with each connection. */
  int connectionNumber() {
    return connectionNumber;
  }

  /**
   * Returns the last sequence number that the remote side acknowledged on this connection, or 0.
   */
  long ackedSequence() {
    return ackedSequence;
  }

  Optional<LocalVm> peer() {
    return Optional.ofNullable(peer);
  }

  /** Sets the address of the entry VM. A change of the address replaces the connection. */
  void setAddress(String host, int port) {
    if (this.host.equals(host) && this.port == port) {
      return;
    }
    this.host = host;
    this.port = port;
    if (phase != LinkPhase.CLOSED) {
      dropConnection("address changed");
      connect();
    }
  }

  /** Starts to connect if the link is closed. */
  void open() {
    if (phase == LinkPhase.CLOSED) {
      connect();
    }
  }

  /** Closes the link. It does not reconnect. */
  void close(String reason) {
    if (phase != LinkPhase.CLOSED) {
      dropConnection(reason);
      phase = LinkPhase.CLOSED;
    }
  }

  SendResult send(Frame frame) {
    if (phase != LinkPhase.READY || channel == null) {
      return SendResult.NOT_CONNECTED;
    }
    return channel.send(frame);
  }

  /** Records a use of the link, so that it is not closed as unused. */
  void markUsed() {
    lastUsedNanos = timers.nowNanos();
  }

  Duration unusedDuration() {
    return Duration.ofNanos(timers.nowNanos() - lastUsedNanos);
  }

  /** Applies the timeouts. */
  void tick() {
    long now = timers.nowNanos();
    if (phase == LinkPhase.READY) {
      checkReadyConnection(now);
    } else if (phase == LinkPhase.CONNECTING) {
      checkConnecting(now);
    } else if (phase == LinkPhase.BACKOFF && now - retryAtNanos >= 0) {
      connect();
    }
  }

  private void checkReadyConnection(long now) {
    if (connection != null && !connection.isOpen()) {
      dropConnection("connection closed");
      scheduleRetry();
    } else if (now - lastReceivedNanos >= settings.keepAliveTimeout().toNanos()) {
      dropConnection(
          "no frame received for " + Duration.ofNanos(now - lastReceivedNanos).toMillis() + " ms");
      connect();
    }
  }

  private void checkConnecting(long now) {
    boolean overdue = now - connectingSinceNanos >= settings.connectTimeout().toNanos();
    if (overdue || (connection != null && !connection.isOpen())) {
      dropConnection(overdue ? "connect timeout" : "connection closed");
      scheduleRetry();
    }
  }

  private void connect() {
    connectionNumber++;
    phase = LinkPhase.CONNECTING;
    connectingSinceNanos = timers.nowNanos();
    connection =
        connector.connect(host, port, target, new DecisionThreadListener(connectionNumber));
  }

  private void scheduleRetry() {
    phase = LinkPhase.BACKOFF;
    retryAtNanos = timers.nowNanos() + backoff.next().toNanos();
  }

  /**
   * Closes the current connection. Its later events are ignored, because its number has changed.
   */
  private void dropConnection(String reason) {
    connectionNumber++;
    if (connection != null) {
      connection.close();
    }
    connection = null;
    channel = null;
    retryAtNanos = timers.nowNanos();
    lastLoss = reason;
    boolean wasReady = phase == LinkPhase.READY;
    phase = LinkPhase.BACKOFF;
    if (wasReady) {
      lostConnections++;
      logger.atInfo().log("event=peer_link_lost vm=%s reason=\"%s\"", target, reason);
      listener.onLinkLost(this, reason);
    }
  }

  private void onReady(int number, FrameChannel channel, LocalVm peer) {
    if (number != connectionNumber || phase != LinkPhase.CONNECTING) {
      channel.close();
      return;
    }
    this.channel = channel;
    this.peer = peer;
    phase = LinkPhase.READY;
    ackedSequence = 0;
    lastReceivedNanos = timers.nowNanos();
    backoff.reset();
    logger.atInfo().log(
        "event=peer_link_ready vm=%s incarnation=%s zone=%s",
        target, peer.incarnation(), peer.zone());
    listener.onLinkReady(this);
  }

  private void onFrame(int number, Frame frame) {
    if (number == connectionNumber && phase == LinkPhase.READY) {
      lastReceivedNanos = timers.nowNanos();
      if (frame.hasPong()) {
        ackedSequence = frame.getPong().getSequence();
      }
      listener.onLinkFrame(this, frame);
    }
  }

  private void onClosed(int number, String reason) {
    if (number == connectionNumber) {
      dropConnection(reason);
      scheduleRetry();
    }
  }

  LinkView view() {
    boolean ready = phase == LinkPhase.READY;
    FrameChannel current = channel;
    return new LinkView(
        target,
        phase,
        ready ? Optional.ofNullable(peer).map(LocalVm::incarnation) : Optional.empty(),
        ready
            ? Optional.of(Duration.ofNanos(timers.nowNanos() - lastReceivedNanos))
            : Optional.empty(),
        current == null ? 0 : current.waitingFrames(),
        current == null ? 0 : current.waitingBytes(),
        lostConnections,
        lastLoss);
  }

  /** Listener that passes the events of one connection to the decision thread. */
  private final class DecisionThreadListener implements ConnectionListener {
    private final int number;

    private DecisionThreadListener(int number) {
      this.number = number;
    }

    @Override
    public void onReady(FrameChannel ready, LocalVm vm) {
      if (!decisions.offer(() -> PeerLink.this.onReady(number, ready, vm))) {
        ready.close();
      }
    }

    @Override
    public void onFrame(FrameChannel from, Frame frame) {
      if (!decisions.offer(() -> PeerLink.this.onFrame(number, frame))) {
        from.close();
      }
    }

    @Override
    public void onClosed(String reason) {
      // If the offer is rejected, the next tick detects that the channel is closed.
      boolean unused = decisions.offer(() -> PeerLink.this.onClosed(number, reason));
    }
  }
}
