package org.amaranthstream.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.platform.KvEntry;
import org.amaranthstream.platform.MirrorListener;
import org.amaranthstream.platform.MirrorTiming;
import org.amaranthstream.platform.PrefixMirror;
import org.amaranthstream.platform.TransactionalStore;
import org.amaranthstream.time.TimerService;

/**
 * The daemons that are registered in the store, and who holds which duty.
 *
 * <p>What was known stays known while the store is away. Used on the thread of its timers.
 */
public final class Fleet implements MirrorListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration WATCH_WAIT = Duration.ofSeconds(10);
  private static final Duration DEBOUNCE = Duration.ofMillis(100);

  private final PrefixMirror mirror;
  private final Map<EntryVmId, FleetNode> nodes = new HashMap<>();

  /** Holders, releases and starts of duties by their keys. */
  private final Map<String, KvEntry> leaderLeaseEntries = new HashMap<>();

  private final List<FleetListener> listeners = new ArrayList<>();

  private Fleet(TransactionalStore store, TimerService timers) {
    this.mirror =
        PrefixMirror.create(
            store, timers, FleetKeys.PREFIX, MirrorTiming.of(WATCH_WAIT, DEBOUNCE), this);
  }

  /** Returns a view that knows nobody. */
  public static Fleet create(TransactionalStore store, TimerService timers) {
    return new Fleet(checkNotNull(store, "store"), checkNotNull(timers, "timers"));
  }

  /** Adds a listener. */
  public void listen(FleetListener listener) {
    listeners.add(checkNotNull(listener, "listener"));
  }

  /** Starts to follow the store. */
  public void start() {
    mirror.start();
  }

  /** Returns true if that start of {@code vm}'s process is registered. */
  public boolean isRegistered(EntryVmId vm, Incarnation incarnation) {
    FleetNode node = nodes.get(vm);
    return node != null && node.incarnation().equals(incarnation);
  }

  /** Returns all daemons that are registered. */
  public ImmutableList<FleetNode> nodes() {
    return ImmutableList.copyOf(nodes.values());
  }

  /** Returns the daemons that are registered besides {@code self}, in a fixed order. */
  public ImmutableList<EntryVmId> othersThan(EntryVmId self) {
    return nodes.keySet().stream()
        .filter(vm -> !vm.equals(self))
        .sorted()
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the entry of the leaseHolder of {@code duty}, empty if nobody holds it. */
  public Optional<KvEntry> leaseHolder(String duty) {
    return Optional.ofNullable(leaderLeaseEntries.get(FleetKeys.duty(duty)));
  }

  /** Returns the entry with which the last leaseHolder of {@code duty} has released it. */
  Optional<KvEntry> release(String duty) {
    return Optional.ofNullable(leaderLeaseEntries.get(FleetKeys.release(duty)));
  }

  /** Returns the note that a leaseHolder of {@code duty} has started to act. */
  Optional<KvEntry> lastStart(String duty) {
    return Optional.ofNullable(leaderLeaseEntries.get(FleetKeys.start(duty)));
  }

  /** Returns true once the registrations were read. */
  public boolean hasCaughtUp() {
    return mirror.hasCaughtUp();
  }

  @Override
  public void onPut(KvEntry entry) {
    String key = entry.key();
    if (key.startsWith(FleetKeys.NODES)) {
      FleetNode.decode(entry.value()).ifPresent(this::onNode);
    } else if (key.startsWith(FleetKeys.DUTIES)) {
      leaderLeaseEntries.put(key, entry);
      String duty = key.substring(FleetKeys.DUTIES.length());
      listeners.forEach(listener -> listener.onLeaderChanged(duty));
    } else if (key.startsWith(FleetKeys.ENDED_JOBS)) {
      JobId job = JobId.of(key.substring(FleetKeys.ENDED_JOBS.length()));
      listeners.forEach(listener -> listener.onJobEnded(job));
    } else if (key.startsWith(FleetKeys.RELEASES)) {
      leaderLeaseEntries.put(key, entry);
      String duty = key.substring(FleetKeys.RELEASES.length());
      listeners.forEach(listener -> listener.onLeaderLeaseReleased(duty));
    } else if (key.startsWith(FleetKeys.STARTS)) {
      leaderLeaseEntries.put(key, entry);
    } else if (key.equals(FleetKeys.SECRET)) {
      listeners.forEach(listener -> listener.onSecret(entry.value()));
    }
  }

  private void onNode(FleetNode node) {
    FleetNode before = nodes.put(node.vm(), node);
    if (before != null && !before.incarnation().equals(node.incarnation())) {
      notifyLost(before);
    }
    if (before == null || !before.equals(node)) {
      logger.atInfo().log(
          "event=node_joined vm=%s incarnation=%s address=%s:%d",
          node.vm(), node.incarnation(), node.host(), node.port());
      listeners.forEach(listener -> listener.onNodeJoined(node));
    }
  }

  private void notifyLost(FleetNode node) {
    logger.atInfo().log("event=node_lost vm=%s incarnation=%s", node.vm(), node.incarnation());
    listeners.forEach(listener -> listener.onNodeLost(node));
  }

  @Override
  public void onRemoved(String key) {
    if (key.startsWith(FleetKeys.NODES)) {
      FleetNode removed = nodes.remove(EntryVmId.of(key.substring(FleetKeys.NODES.length())));
      if (removed != null) {
        notifyLost(removed);
      }
    } else if (key.startsWith(FleetKeys.DUTIES)) {
      leaderLeaseEntries.remove(key);
      String duty = key.substring(FleetKeys.DUTIES.length());
      listeners.forEach(listener -> listener.onLeaderChanged(duty));
    } else {
      leaderLeaseEntries.remove(key);
    }
  }

  @Override
  public void onCaughtUp() {
    listeners.forEach(FleetListener::onCaughtUp);
  }
}
