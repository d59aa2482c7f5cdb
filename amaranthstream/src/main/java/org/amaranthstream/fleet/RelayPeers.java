package org.amaranthstream.fleet;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.membership.RendezvousHash;

/**
 * Selection of the peer through which a daemon that reaches no server relays its calls.
 *
 * <p>The peer that served the last call comes first. Then one of the own zone, one of the region
 * and one of another region follow in turn, as a whole zone may be partitioned. Daemons choose
 * different peers, so that the load spreads. A peer that could not serve a call is avoided for a
 * while, which also ends the relaying when the servers are down for all. Not thread safe. Callers
 * pass times as monotonic nanoseconds.
 */
final class RelayPeers {
  private static final int CANDIDATES_BY_DISTANCE = 3;
  private static final Duration AVOIDANCE = Duration.ofSeconds(2);

  private final FleetNode self;
  private final Map<EntryVmId, Long> avoidedUntilNanos = new HashMap<>();
  private ImmutableList<EntryVmId> candidates = ImmutableList.of();
  private Optional<EntryVmId> lastServing = Optional.empty();

  RelayPeers(FleetNode self) {
    this.self = self;
  }

  /** Replaces the registered daemons. */
  void setNodes(Collection<FleetNode> nodes) {
    Predicate<FleetNode> isInZone = node -> node.zone().equals(self.zone());
    Predicate<FleetNode> isInRegion = node -> node.region().equals(self.region());
    List<List<EntryVmId>> byDistance =
        List.of(
            select(nodes, isInZone),
            select(nodes, isInZone.negate().and(isInRegion)),
            select(nodes, isInRegion.negate()));
    ImmutableList.Builder<EntryVmId> inTurn = ImmutableList.builder();
    for (int i = 0; i < CANDIDATES_BY_DISTANCE; i++) {
      int index = i;
      byDistance.stream()
          .filter(vms -> index < vms.size())
          .forEach(vms -> inTurn.add(vms.get(index)));
    }
    candidates = inTurn.build();
  }

  private List<EntryVmId> select(Collection<FleetNode> nodes, Predicate<FleetNode> isIncluded) {
    List<EntryVmId> included =
        nodes.stream()
            .filter(isIncluded)
            .map(FleetNode::vm)
            .filter(vm -> !vm.equals(self.vm()))
            .toList();
    return RendezvousHash.order(self.vm().value(), included).stream()
        .limit(CANDIDATES_BY_DISTANCE)
        .toList();
  }

  /** Returns the peers that may serve a call, the preferred one first. */
  List<EntryVmId> available(long nowNanos) {
    return candidates.stream().filter(vm -> !isAvoided(vm, nowNanos)).toList();
  }

  private boolean isAvoided(EntryVmId vm, long nowNanos) {
    Long until = avoidedUntilNanos.get(vm);
    return until != null && nowNanos - until < 0;
  }

  /** Returns the peer for the next call: one with a link, if there is any. */
  Optional<EntryVmId> choose(Predicate<EntryVmId> hasLink, long nowNanos) {
    List<EntryVmId> available = available(nowNanos);
    if (lastServing.filter(available::contains).isPresent()) {
      return lastServing;
    }
    Optional<EntryVmId> linked = available.stream().filter(hasLink).findFirst();
    return linked.isPresent() ? linked : available.stream().findFirst();
  }

  /** Records that a peer could not serve a call. */
  void onFailed(EntryVmId vm, long nowNanos) {
    avoidedUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
    avoidedUntilNanos.put(vm, nowNanos + AVOIDANCE.toNanos());
    lastServing = lastServing.filter(serving -> !serving.equals(vm));
  }

  /** Returns the number of peers that are recorded as avoided. */
  int avoidedCount() {
    return avoidedUntilNanos.size();
  }

  /** Records that a peer has served a call. */
  void onServed(EntryVmId vm) {
    avoidedUntilNanos.remove(vm);
    lastServing = Optional.of(vm);
  }
}
