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
 * The accepted connections; the newest of an entry VM replaces the one before.
 *
 * <p>Used on the decision thread only, but for {@link #newListener}.
 */
final class InboundLinks {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int SILENT_TIMEOUTS = 3;

  private final PeerLinkSettings settings;
  private final TimerService timers;
  private final Duty decisions;
  private final InboundObserver observer;
  private final TreeMap<EntryVmId, InboundLink> links = new TreeMap<>();

  InboundLinks(
      PeerLinkSettings settings, TimerService timers, Duty decisions, InboundObserver observer) {
    this.settings = settings;
    this.timers = timers;
    this.decisions = decisions;
    this.observer = observer;
  }

  /** Returns the receiver of the events of a connection that is being accepted. */
  ConnectionListener newListener() {
    return new Events();
  }

  private void add(InboundLink link) {
    InboundLink before = links.put(link.peer().id(), link);
    if (before != null) {
      before.close();
      observer.onInboundClosed(before);
    }
    logger.atInfo().log(
        "event=peer_accepted vm=%s incarnation=%s zone=%s",
        link.peer().id(), link.peer().incarnation(), link.peer().zone());
  }

  private void remove(InboundLink link) {
    if (links.remove(link.peer().id(), link)) {
      observer.onInboundClosed(link);
    }
  }

  private void receive(InboundLink link, Frame frame) {
    if (links.get(link.peer().id()) != link) {
      return;
    }
    long now = timers.nowNanos();
    if (link.heardAgeNanos(now) >= settings.keepAliveTimeout().toNanos()) {
      // The other side has given this connection up: what is still in it comes too late.
      link.close();
      remove(link);
      return;
    }
    link.markHeard(now);
    observer.onInboundFrame(link, frame);
  }

  /** Closes connections on which nothing arrives, and forgets those that are closed. */
  void tick() {
    long limit = settings.keepAliveTimeout().multipliedBy(SILENT_TIMEOUTS).toNanos();
    for (InboundLink link : List.copyOf(links.values())) {
      if (!link.isOpen() || link.heardAgeNanos(timers.nowNanos()) >= limit) {
        link.close();
        remove(link);
      }
    }
  }

  /** Returns how long ago {@code vm} was last heard on a connection of its own. */
  OptionalLong heardAgeNanos(EntryVmId vm) {
    InboundLink link = links.get(vm);
    return link == null
        ? OptionalLong.empty()
        : OptionalLong.of(link.heardAgeNanos(timers.nowNanos()));
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

  /** Hands the events of one connection over to the decision thread. */
  private final class Events implements ConnectionListener {
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
        // A refused offer is made up for by the next tick, which sees that the channel is closed.
        boolean unused = decisions.offer(() -> remove(closed));
      }
    }
  }
}
