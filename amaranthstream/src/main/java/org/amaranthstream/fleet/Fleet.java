package org.amaranthstream.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.platform.KvEntry;
import org.amaranthstream.platform.MirrorListener;
import org.amaranthstream.platform.MirrorTiming;
import org.amaranthstream.platform.PrefixMirror;
import org.amaranthstream.platform.TransactionalStore;
import org.amaranthstream.time.TimerService;

/**
 * A view of the registered daemons and of the leader leases, mirrored from the store.
 *
 * <p>While the store is unavailable, the view keeps its last state. Not thread safe: used on the
 * thread of its timers.
 */
public final class Fleet implements MirrorListener {
  private static final Duration WATCH_WAIT = Duration.ofSeconds(10);
  private static final Duration DEBOUNCE = Duration.ofMillis(100);

  private final PrefixMirror mirror;
  private final Map<EntryVmId, FleetNode> nodes = new HashMap<>();
  private final Map<EntryVmId, Revision> registrations = new HashMap<>();

  /** Holder, release and start entries of leader leases, by key. */
  private final Map<String, KvEntry> leaderLeaseEntries = new HashMap<>();

  private final List<FleetListener> listeners = new ArrayList<>();
  private final NodesChangeLog changeLog;

  /** Changes of the batch that is being applied. */
  private final Map<EntryVmId, FleetNode> joined = new LinkedHashMap<>();

  private final List<FleetNode> lost = new ArrayList<>();

  private Fleet(TransactionalStore store, TimerService timers) {
    this.mirror =
        PrefixMirror.create(
            store, timers, FleetKeys.PREFIX, MirrorTiming.of(WATCH_WAIT, DEBOUNCE), this);
    this.changeLog = new NodesChangeLog(timers, nodes::size);
  }

  /** Returns an empty view; call {@link #start} to fill it. */
  public static Fleet create(TransactionalStore store, TimerService timers) {
    return new Fleet(checkNotNull(store, "store"), checkNotNull(timers, "timers"));
  }

  /** Adds a listener, which is called on the thread of the timers. */
  public void addListener(FleetListener listener) {
    listeners.add(checkNotNull(listener, "listener"));
  }

  /** Starts to mirror the store. */
  public void start() {
    mirror.start();
  }

  /** Returns the revision of the store up to which the view is complete. */
  public Revision revision() {
    return mirror.revision();
  }

  /** Returns true if the daemon on {@code vm} is registered with that incarnation. */
  public boolean isRegistered(EntryVmId vm, Incarnation incarnation) {
    FleetNode node = nodes.get(vm);
    return node != null && node.incarnation().equals(incarnation);
  }

  /**
   * Returns the condition of a transaction that the incarnation on {@code vm} is not registered,
   * for the state of this view. If the view is old, the transaction conflicts.
   */
  public AbsenceCondition absenceOf(EntryVmId vm, Incarnation incarnation) {
    Revision registration = registrations.get(vm);
    return registration == null
        ? AbsenceCondition.unregistered(vm, incarnation)
        : AbsenceCondition.replaced(vm, incarnation, registration);
  }

  /** Reads the registrations again without waiting for the watch, whose view has proved old. */
  public void refresh() {
    mirror.refresh();
  }

  /** Returns all registered daemons, this one included. */
  public ImmutableList<FleetNode> nodes() {
    return ImmutableList.copyOf(nodes.values());
  }

  /** Returns the registered daemons other than {@code self}, sorted by name. */
  public ImmutableList<EntryVmId> othersThan(EntryVmId self) {
    return nodes.keySet().stream()
        .filter(vm -> !vm.equals(self))
        .sorted()
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the entry that names the holder of a leader lease, empty if nobody holds it. */
  public Optional<KvEntry> leaseHolder(String leaderLease) {
    return Optional.ofNullable(leaderLeaseEntries.get(FleetKeys.leaderLease(leaderLease)));
  }

  /** Returns the release record of a leader lease, empty unless the last holder released it. */
  Optional<KvEntry> release(String leaderLease) {
    return Optional.ofNullable(leaderLeaseEntries.get(FleetKeys.release(leaderLease)));
  }

  /** Returns the start record of the last holder of a leader lease that began to act. */
  Optional<KvEntry> lastStart(String leaderLease) {
    return Optional.ofNullable(leaderLeaseEntries.get(FleetKeys.start(leaderLease)));
  }

  /** Returns true once the view was read completely. */
  public boolean hasCaughtUp() {
    return mirror.hasCaughtUp();
  }

  @Override
  public void onPut(KvEntry entry) {
    String key = entry.key();
    if (key.startsWith(FleetKeys.NODES)) {
      FleetNode.decode(entry.value()).ifPresent(node -> onNode(node, entry.revision()));
    } else if (key.startsWith(FleetKeys.LEADER_LEASES)) {
      leaderLeaseEntries.put(key, entry);
      String leaderLease = key.substring(FleetKeys.LEADER_LEASES.length());
      listeners.forEach(listener -> listener.onLeaderChanged(leaderLease));
    } else if (key.startsWith(FleetKeys.ENDED_JOBS)) {
      JobId job = JobId.parse(key.substring(FleetKeys.ENDED_JOBS.length()));
      listeners.forEach(listener -> listener.onJobEnded(job));
    } else if (key.startsWith(FleetKeys.RELEASES)) {
      leaderLeaseEntries.put(key, entry);
      String leaderLease = key.substring(FleetKeys.RELEASES.length());
      listeners.forEach(listener -> listener.onLeaderLeaseReleased(leaderLease));
    } else if (key.startsWith(FleetKeys.STARTS)) {
      leaderLeaseEntries.put(key, entry);
    } else if (key.equals(FleetKeys.SECRET)) {
      listeners.forEach(listener -> listener.onSecret(entry.value()));
    }
  }

  private void onNode(FleetNode node, Revision registration) {
    FleetNode before = nodes.put(node.vm(), node);
    registrations.put(node.vm(), registration);
    if (before != null && !before.incarnation().equals(node.incarnation())) {
      addLost(before);
    }
    if (!node.equals(before)) {
      joined.put(node.vm(), node);
    }
  }

  /** A daemon that joined and was lost in the same batch counts as lost: it may have owned jobs. */
  private void addLost(FleetNode node) {
    joined.remove(node.vm());
    lost.add(node);
  }

  /** Notifies the listeners once of all daemons that joined or were lost in a batch. */
  @Override
  public void onBatchApplied() {
    if (joined.isEmpty() && lost.isEmpty()) {
      return;
    }
    NodesChange change =
        new NodesChange(ImmutableList.copyOf(joined.values()), ImmutableList.copyOf(lost));
    joined.clear();
    lost.clear();
    changeLog.add(change);
    listeners.forEach(listener -> listener.onNodesChanged(change));
  }

  @Override
  public void onRemoved(String key) {
    if (key.startsWith(FleetKeys.NODES)) {
      EntryVmId vm = EntryVmId.of(key.substring(FleetKeys.NODES.length()));
      registrations.remove(vm);
      FleetNode removed = nodes.remove(vm);
      if (removed != null) {
        addLost(removed);
      }
    } else if (key.startsWith(FleetKeys.LEADER_LEASES)) {
      leaderLeaseEntries.remove(key);
      String leaderLease = key.substring(FleetKeys.LEADER_LEASES.length());
      listeners.forEach(listener -> listener.onLeaderChanged(leaderLease));
    } else {
      leaderLeaseEntries.remove(key);
    }
  }

  @Override
  public void onCaughtUp() {
    listeners.forEach(FleetListener::onCaughtUp);
  }
}
