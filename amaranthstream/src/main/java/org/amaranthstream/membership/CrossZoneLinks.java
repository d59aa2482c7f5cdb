package org.amaranthstream.membership;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.amaranthstream.ids.AvailabilityZoneId;
import org.amaranthstream.ids.EntryVmId;

/**
 * Chooses the few entry VMs of each other availability zone that this process keeps links to. A
 * choice stays until it does not answer in time or leaves; then the next in the order of rendezvous
 * hashing takes its place.
 *
 * <p>Not thread safe.
 */
final class CrossZoneLinks {
  private final LocalVm self;
  private final int linksPerZone;
  private final long responseTimeoutNanos;
  private final long retryNanos;
  private final TreeMap<AvailabilityZoneId, List<EntryVmId>> chosenByZone = new TreeMap<>();
  private final Map<EntryVmId, Long> lastResponseNanos = new HashMap<>();
  private final Map<EntryVmId, Long> failedAtNanos = new HashMap<>();

  CrossZoneLinks(LocalVm self, MembershipSettings settings) {
    this.self = self;
    this.linksPerZone = settings.crossZoneLinks();
    this.responseTimeoutNanos = settings.unreachableAfter().toNanos();
    this.retryNanos = settings.linkRetryAfter().toNanos();
  }

  /** An entry VM answered on a link. */
  void onResponse(EntryVmId vm, VmPhase phase, long nowNanos) {
    if (lastResponseNanos.containsKey(vm)) {
      if (phase == VmPhase.LEAVING) {
        drop(vm, nowNanos);
      } else {
        lastResponseNanos.put(vm, nowNanos);
      }
    }
  }

  /** Chooses anew where needed; {@code zones} are the candidates of each other zone. */
  void update(Map<AvailabilityZoneId, List<EntryVmId>> zones, long nowNanos) {
    failedAtNanos.values().removeIf(at -> nowNanos - at >= retryNanos);
    for (EntryVmId vm : List.copyOf(lastResponseNanos.keySet())) {
      if (nowNanos - lastResponseNanos.get(vm) >= responseTimeoutNanos) {
        drop(vm, nowNanos);
      }
    }
    chosenByZone.keySet().retainAll(zones.keySet());
    zones.forEach((zone, candidates) -> choose(zone, candidates, nowNanos));
    List<EntryVmId> all = chosenByZone.values().stream().flatMap(List::stream).toList();
    lastResponseNanos.keySet().retainAll(all);
  }

  private void choose(AvailabilityZoneId zone, List<EntryVmId> candidates, long nowNanos) {
    List<EntryVmId> picks = chosenByZone.computeIfAbsent(zone, unused -> new ArrayList<>());
    picks.retainAll(candidates);
    if (picks.size() >= linksPerZone) {
      return;
    }
    ImmutableList<EntryVmId> order = RendezvousHash.order(self.id().value(), candidates);
    addFrom(order, picks, false, nowNanos);
    addFrom(order, picks, true, nowNanos);
  }

  private void addFrom(
      List<EntryVmId> order, List<EntryVmId> picks, boolean evenFailed, long nowNanos) {
    for (EntryVmId vm : order) {
      boolean usable = evenFailed || !failedAtNanos.containsKey(vm);
      if (picks.size() < linksPerZone && usable && !picks.contains(vm)) {
        picks.add(vm);
        lastResponseNanos.put(vm, nowNanos);
      }
    }
  }

  private void drop(EntryVmId vm, long nowNanos) {
    failedAtNanos.put(vm, nowNanos);
    lastResponseNanos.remove(vm);
    chosenByZone.values().forEach(picks -> picks.remove(vm));
  }

  /** Returns the chosen entry VMs of {@code zone}. */
  ImmutableList<EntryVmId> targets(AvailabilityZoneId zone) {
    return ImmutableList.copyOf(chosenByZone.getOrDefault(zone, List.of()));
  }

  /** Returns the chosen entry VMs of all zones. */
  ImmutableList<EntryVmId> targets() {
    return chosenByZone.values().stream()
        .flatMap(List::stream)
        .collect(ImmutableList.toImmutableList());
  }
}
