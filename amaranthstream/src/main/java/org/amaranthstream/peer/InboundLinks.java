package org.amaranthstream.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.membership.LocalVm;
import org.amaranthstream.peer.wire.Frame;
import org.amaranthstream.ring.Duty;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Accepted connections, one for each entry VM. A newer connection of an entry VM replaces the
 * older.
 *
 * <p>Used on the decision thread only, except {@link #newListener}.
 */
final class InboundLinks {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int TIMEOUTS_BEFORE_CLOSE = 3;

  private final PeerLinkSettings settings;
  private final TimerService timers;
  private final Duty decisions;
  private final InboundLinkListener listener;
  private final TreeMap<EntryVmId, InboundLink> links = new TreeMap<>();

  InboundLinks(
      PeerLinkSettings settings,
      TimerService timers,
      Duty decisions,
      InboundLinkListener listener) {
    this.settings = settings;
    this.timers = timers;
    this.decisions = decisions;
    this.listener = listener;
  }

  /** Returns a listener for a connection that is being accepted. */
  ConnectionListener newListener() {
    return new DecisionThreadListener();
  }

  private void add(InboundLink link) {
    InboundLink replaced = links.put(link.peer().id(), link);
    if (replaced != null) {
      replaced.close();
      listener.onInboundClosed(replaced);
    }
    logger.atInfo().log(
        "event=peer_accepted vm=%s incarnation=%s zone=%s",
        link.peer().id(), link.peer().incarnation(), link.peer().zone());
  }

  private void remove(InboundLink link) {
    if (links.remove(link.peer().id(), link)) {
      listener.onInboundClosed(link);
    }
  }

  private void receive(InboundLink link, Frame frame) {
    if (links.get(link.peer().id()) != link) {
      return;
    }
    long now = timers.nowNanos();
    if (link.lastReceivedAgeNanos(now) >= settings.keepAliveTimeout().toNanos()) {
      // The remote side has dropped this connection by now, so the frame is too old.
      link.close();
      remove(link);
      return;
    }
    link.markReceived(now);
    listener.onInboundFrame(link, frame);
  }

  /** Closes connections on which no frame arrives and removes the closed ones. */
  void tick() {
    long limit = settings.keepAliveTimeout().multipliedBy(TIMEOUTS_BEFORE_CLOSE).toNanos();
    for (InboundLink link : List.copyOf(links.values())) {
      if (!link.isOpen() || link.lastReceivedAgeNanos(timers.nowNanos()) >= limit) {
        link.close();
        remove(link);
      }
    }
  }

  /** Returns the time since {@code vm} sent a frame on its connection; empty if it has none. */
  OptionalLong lastReceivedAgeNanos(EntryVmId vm) {
    InboundLink link = links.get(vm);
    return link == null
        ? OptionalLong.empty()
        : OptionalLong.of(link.lastReceivedAgeNanos(timers.nowNanos()));
  }

  void close() {
    List<InboundLink> all = List.copyOf(links.values());
    all.forEach(InboundLink::close);
    all.forEach(this::remove);
  }

  ImmutableList<InboundView> views() {
    long now = timers.nowNanos();
    return links.values().stream()
        .map(link -> link.view(now))
        .collect(ImmutableList.toImmutableList());
  }

  /** Listener that passes the events of one connection to the decision thread. */
  private final class DecisionThreadListener implements ConnectionListener {
    private volatile @Nullable InboundLink link;

    @Override
    public void onReady(FrameChannel channel, LocalVm peer) {
      InboundLink accepted = new InboundLink(peer, channel, timers.nowNanos());
      link = accepted;
      if (!decisions.offer(() -> add(accepted))) {
        channel.close();
      }
    }

    @Override
    public void onFrame(FrameChannel channel, Frame frame) {
      InboundLink from = link;
      if (from == null || !decisions.offer(() -> receive(from, frame))) {
        channel.close();
      }
    }

    @Override
    public void onClosed(String reason) {
      InboundLink closed = link;
      if (closed != null) {
        // If the offer is rejected, the next tick detects that the channel is closed.
        boolean unused = decisions.offer(() -> remove(closed));
      }
    }
  }
}
