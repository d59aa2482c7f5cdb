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
 * Selection of the few entry VMs in each other availability zone that the local daemon keeps links
 * to. An entry VM that does not respond in time or is leaving is replaced by the next one in
 * rendezvous order. One that failed recently is chosen again only if there are too few others.
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

  /** Records a response of {@code vm} on a link. */
  void onResponse(EntryVmId vm, VmPhase phase, long nowNanos) {
    if (lastResponseNanos.containsKey(vm)) {
      if (phase == VmPhase.LEAVING) {
        drop(vm, nowNanos);
      } else {
        lastResponseNanos.put(vm, nowNanos);
      }
    }
  }

  /** Replaces links where needed; {@code zones} has the candidates of each other zone. */
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
    List<EntryVmId> chosen = chosenByZone.computeIfAbsent(zone, unused -> new ArrayList<>());
    chosen.retainAll(candidates);
    if (chosen.size() >= linksPerZone) {
      return;
    }
    ImmutableList<EntryVmId> order = RendezvousHash.order(self.id().value(), candidates);
    addFrom(order, chosen, false, nowNanos);
    addFrom(order, chosen, true, nowNanos);
  }

  private void addFrom(
      List<EntryVmId> order, List<EntryVmId> chosen, boolean includesFailed, long nowNanos) {
    for (EntryVmId vm : order) {
      boolean isUsable = includesFailed || !failedAtNanos.containsKey(vm);
      if (chosen.size() < linksPerZone && isUsable && !chosen.contains(vm)) {
        chosen.add(vm);
        lastResponseNanos.put(vm, nowNanos);
      }
    }
  }

  private void drop(EntryVmId vm, long nowNanos) {
    failedAtNanos.put(vm, nowNanos);
    lastResponseNanos.remove(vm);
    chosenByZone.values().forEach(chosen -> chosen.remove(vm));
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
