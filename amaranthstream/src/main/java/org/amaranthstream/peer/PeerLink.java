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
 * The outbound link to one entry VM. It reconnects with backoff, and replaces a connection that
 * gives no answer in time though it is not closed.
 *
 * <p>Used on the decision thread only; the events of connections are handed over to it.
 */
final class PeerLink {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final EntryVmId target;
  private final PeerConnector connector;
  private final PeerLinkSettings settings;
  private final TimerService timers;
  private final Duty decisions;
  private final Backoff backoff;
  private final LinkObserver observer;
  private String host;
  private int port;
  private LinkPhase phase = LinkPhase.CLOSED;
  private int connectionNumber;
  private PeerConnector.@Nullable Connection connection;
  private @Nullable FrameChannel channel;
  private @Nullable LocalVm peer;
  private long connectingSinceNanos;
  private long lastAnswerNanos;
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
      LinkObserver observer) {
    this.target = target;
    this.host = host;
    this.port = port;
    this.connector = connector;
    this.settings = settings;
    this.timers = timers;
    this.decisions = decisions;
    this.backoff = backoff;
    this.observer = observer;
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

  /** Returns a number that changes with each connection. */
  int connectionNumber() {
    return connectionNumber;
  }

  /** Returns the sequence that the other side answered last on this connection, 0 if none. */
  long ackedSequence() {
    return ackedSequence;
  }

  Optional<LocalVm> peer() {
    return Optional.ofNullable(peer);
  }

  /** Sets where the entry VM is; a change of address replaces the connection. */
  void setAddress(String host, int port) {
    if (this.host.equals(host) && this.port == port) {
      return;
    }
    this.host = host;
    this.port = port;
    if (phase != LinkPhase.CLOSED) {
      lose("address changed");
      connect();
    }
  }

  /** Starts to connect if the link is closed. */
  void open() {
    if (phase == LinkPhase.CLOSED) {
      connect();
    }
  }

  /** Closes the link for good. */
  void close(String reason) {
    if (phase != LinkPhase.CLOSED) {
      lose(reason);
      phase = LinkPhase.CLOSED;
    }
  }

  SendResult send(Frame frame) {
    if (phase != LinkPhase.READY || channel == null) {
      return SendResult.NOT_CONNECTED;
    }
    return channel.send(frame);
  }

  /** Notes that the link was wanted for work, so that it is not closed as unused. */
  void markUsed() {
    lastUsedNanos = timers.nowNanos();
  }

  Duration unusedFor() {
    return Duration.ofNanos(timers.nowNanos() - lastUsedNanos);
  }

  /** Applies the timeouts. */
  void tick() {
    long now = timers.nowNanos();
    if (phase == LinkPhase.READY) {
      checkConnection(now);
    } else if (phase == LinkPhase.CONNECTING) {
      checkConnecting(now);
    } else if (phase == LinkPhase.BACKOFF && now - retryAtNanos >= 0) {
      connect();
    }
  }

  private void checkConnection(long now) {
    if (connection != null && !connection.isOpen()) {
      lose("closed");
      pause();
    } else if (now - lastAnswerNanos >= settings.keepAliveTimeout().toNanos()) {
      lose("no answer for " + Duration.ofNanos(now - lastAnswerNanos).toMillis() + " ms");
      connect();
    }
  }

  private void checkConnecting(long now) {
    boolean overdue = now - connectingSinceNanos >= settings.connectTimeout().toNanos();
    if (overdue || (connection != null && !connection.isOpen())) {
      lose(overdue ? "connecting took too long" : "closed");
      pause();
    }
  }

  private void connect() {
    connectionNumber++;
    phase = LinkPhase.CONNECTING;
    connectingSinceNanos = timers.nowNanos();
    connection = connector.connect(host, port, target, new Events(connectionNumber));
  }

  private void pause() {
    phase = LinkPhase.BACKOFF;
    retryAtNanos = timers.nowNanos() + backoff.next().toNanos();
  }

  /** Gives up the connection there is, so that its later events are ignored. */
  private void lose(String reason) {
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
      observer.onLinkLost(this, reason);
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
    lastAnswerNanos = timers.nowNanos();
    backoff.reset();
    logger.atInfo().log(
        "event=peer_link_ready vm=%s incarnation=%s zone=%s",
        target, peer.incarnation(), peer.zone());
    observer.onLinkReady(this);
  }

  private void onFrame(int number, Frame frame) {
    if (number == connectionNumber && phase == LinkPhase.READY) {
      lastAnswerNanos = timers.nowNanos();
      if (frame.hasPong()) {
        ackedSequence = frame.getPong().getSequence();
      }
      observer.onLinkFrame(this, frame);
    }
  }

  private void onClosed(int number, String reason) {
    if (number == connectionNumber) {
      lose(reason);
      pause();
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
            ? Optional.of(Duration.ofNanos(timers.nowNanos() - lastAnswerNanos))
            : Optional.empty(),
        current == null ? 0 : current.waitingFrames(),
        current == null ? 0 : current.waitingBytes(),
        lostConnections,
        lastLoss);
  }

  /** Hands the events of one connection over to the decision thread. */
  private final class Events implements ConnectionListener {
    private final int number;

    private Events(int number) {
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
      // A refused offer is made up for by the next tick, which sees that the channel is closed.
      boolean unused = decisions.offer(() -> PeerLink.this.onClosed(number, reason));
    }
  }
}
