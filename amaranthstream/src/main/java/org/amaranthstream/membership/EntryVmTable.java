package org.amaranthstream.membership;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.platform.VmEntry;
import org.jspecify.annotations.Nullable;

/**
 * Table of all entry VMs except the local one, from the VM list and from heartbeats.
 *
 * <p>Not thread safe.
 */
final class EntryVmTable {
  /** Number of trackers above which heartbeats from new, unlisted entry VMs are ignored. */
  private static final int MAX_UNLISTED_VMS = 1024;

  /** Multiple of the unreachable timeout after which a silent, unlisted entry VM is removed. */
  private static final int UNLISTED_RETENTION_TIMEOUTS = 10;

  private final LocalVm self;
  private final MembershipSettings settings;
  private final TreeMap<EntryVmId, VmEntry> listed = new TreeMap<>();
  private final Map<EntryVmId, HeartbeatTracker> trackers = new HashMap<>();

  EntryVmTable(LocalVm self, MembershipSettings settings) {
    this.self = self;
    this.settings = settings;
  }

  /** Replaces the listed entry VMs. */
  void onList(Collection<VmEntry> vms) {
    listed.clear();
    vms.forEach(this::list);
  }

  /** Adds or replaces some of the listed entry VMs and removes others. */
  void onListChanged(Collection<VmEntry> changed, Collection<EntryVmId> removed) {
    removed.forEach(listed::remove);
    changed.forEach(this::list);
  }

  private void list(VmEntry entry) {
    EntryVmId id = EntryVmId.of(entry.name());
    if (!id.equals(self.id())) {
      listed.put(id, entry);
    }
  }

  /** Applies a heartbeat of a peer. */
  void onHeartbeat(PeerHeartbeat heartbeat, long nowNanos) {
    EntryVmId id = heartbeat.from().id();
    if (id.equals(self.id())) {
      return;
    }
    if (!trackers.containsKey(id)
        && !listed.containsKey(id)
        && trackers.size() >= MAX_UNLISTED_VMS) {
      return;
    }
    trackers
        .computeIfAbsent(id, unused -> new HeartbeatTracker(settings))
        .onHeartbeat(heartbeat, nowNanos);
  }

  /** Applies the heartbeat timeouts and removes unlisted entry VMs that are long unreachable. */
  void tick(long nowNanos) {
    trackers.values().forEach(tracker -> tracker.tick(nowNanos));
    Duration retention = settings.unreachableAfter().multipliedBy(UNLISTED_RETENTION_TIMEOUTS);
    trackers
        .entrySet()
        .removeIf(
            entry ->
                !listed.containsKey(entry.getKey())
                    && entry.getValue().age(nowNanos).compareTo(retention) > 0);
  }

  /** Returns the state of {@code id}, empty if it is unknown. */
  Optional<EntryVmView> view(EntryVmId id, long nowNanos) {
    VmEntry entry = listed.get(id);
    HeartbeatTracker tracker = trackers.get(id);
    if (entry == null && tracker == null) {
      return Optional.empty();
    }
    return Optional.of(view(id, entry, tracker, nowNanos));
  }

  private static EntryVmView view(
      EntryVmId id, @Nullable VmEntry entry, @Nullable HeartbeatTracker tracker, long nowNanos) {
    boolean leavingInList = entry != null && entry.leaving();
    boolean leaving = leavingInList || (tracker != null && tracker.phase() == VmPhase.LEAVING);
    LocalVm identity = tracker == null ? null : tracker.identity();
    return new EntryVmView(
        id,
        entry == null ? Objects.requireNonNull(identity).region() : entry.region(),
        entry == null ? Objects.requireNonNull(identity).zone() : entry.zone(),
        Optional.ofNullable(entry).map(VmEntry::host),
        entry == null ? 0 : entry.port(),
        entry != null,
        tracker == null ? Reachability.UNKNOWN : tracker.reachability(),
        tracker != null && tracker.receivesLocalHeartbeats(),
        leaving ? VmPhase.LEAVING : VmPhase.READY,
        Optional.ofNullable(identity).map(LocalVm::incarnation),
        tracker == null ? Optional.empty() : Optional.of(tracker.age(nowNanos)));
  }

  private TreeSet<EntryVmId> knownIds() {
    TreeSet<EntryVmId> ids = new TreeSet<>(listed.keySet());
    ids.addAll(trackers.keySet());
    return ids;
  }

  private AvailabilityZoneId zoneOf(EntryVmId id) {
    VmEntry entry = listed.get(id);
    return entry == null
        ? Objects.requireNonNull(trackers.get(id)).identity().zone()
        : entry.zone();
  }

  /** Returns all known entry VMs except the local one, in the order of their names. */
  ImmutableList<EntryVmView> views(long nowNanos) {
    return knownIds().stream()
        .map(id -> view(id, listed.get(id), trackers.get(id), nowNanos))
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the known entry VMs of {@code zone} except the local one, in the order of their names.
   */
  ImmutableList<EntryVmView> views(AvailabilityZoneId zone, long nowNanos) {
    return knownIds().stream()
        .filter(id -> zone.equals(zoneOf(id)))
        .map(id -> view(id, listed.get(id), trackers.get(id), nowNanos))
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the number of requests for {@code pool} queued in reachable peers of the local zone.
   */
  int waiting(PoolId pool) {
    return trackers.values().stream()
        .filter(tracker -> tracker.identity().zone().equals(self.zone()))
        .filter(tracker -> tracker.reachability() == Reachability.REACHABLE)
        .mapToInt(tracker -> tracker.waiting(pool))
        .sum();
  }
}
