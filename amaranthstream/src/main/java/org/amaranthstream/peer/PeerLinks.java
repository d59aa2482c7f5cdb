package org.amaranthstream.peer;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.membership.EntryVmView;
import org.amaranthstream.membership.MembershipTable;
import org.amaranthstream.ring.Duty;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * The outbound links: those that membership asks for, and others for as long as they are used.
 *
 * <p>Used on the decision thread only.
 */
final class PeerLinks {
  private static final Duration UNUSED_LIMIT = Duration.ofMinutes(1);
  private static final int MAX_LINKS = 512;

  private final MembershipTable table;
  private final PeerConnector connector;
  private final PeerLinkSettings settings;
  private final TimerService timers;
  private final Duty decisions;
  private final LinkObserver observer;
  private final Random random = new Random();
  private final TreeMap<EntryVmId, PeerLink> links = new TreeMap<>();

  PeerLinks(
      MembershipTable table,
      PeerConnector connector,
      PeerLinkSettings settings,
      TimerService timers,
      Duty decisions,
      LinkObserver observer) {
    this.table = table;
    this.connector = connector;
    this.settings = settings;
    this.timers = timers;
    this.decisions = decisions;
    this.observer = observer;
  }

  /** Opens and closes links as membership asks, and applies the timeouts of each. */
  void tick() {
    Set<EntryVmId> wanted = new HashSet<>();
    for (EntryVmView vm : table.linkTargets()) {
      wanted.add(vm.id());
      ensure(vm);
    }
    for (PeerLink link : List.copyOf(links.values())) {
      boolean unused = link.unusedFor().compareTo(UNUSED_LIMIT) >= 0;
      if (!wanted.contains(link.target()) && unused) {
        links.remove(link.target());
        link.close("not needed any more");
      } else {
        link.tick();
      }
    }
  }

  /** Returns the link to {@code vm}, opened if need be; empty if its address is not known. */
  Optional<PeerLink> ensure(EntryVmId vm) {
    PeerLink known = links.get(vm);
    if (known != null) {
      return Optional.of(known);
    }
    return table.entryVm(vm).map(this::ensure);
  }

  private @Nullable PeerLink ensure(EntryVmView vm) {
    PeerLink link = links.get(vm.id());
    if (vm.host().isEmpty() || (link == null && links.size() >= MAX_LINKS)) {
      return link;
    }
    String host = vm.host().get();
    if (link == null) {
      link = newLink(vm.id(), host, vm.port());
      links.put(vm.id(), link);
      link.open();
    } else {
      link.setAddress(host, vm.port());
    }
    return link;
  }

  private PeerLink newLink(EntryVmId vm, String host, int port) {
    Backoff backoff = new Backoff(settings.backoffMin(), settings.backoffMax(), random);
    return new PeerLink(vm, host, port, connector, settings, timers, decisions, backoff, observer);
  }

  /** Returns the link to {@code vm} if frames pass on it. */
  Optional<PeerLink> ready(EntryVmId vm) {
    return Optional.ofNullable(links.get(vm)).filter(PeerLink::isReady);
  }

  /** Returns the links on which frames pass. */
  ImmutableList<PeerLink> ready() {
    return links.values().stream()
        .filter(PeerLink::isReady)
        .collect(ImmutableList.toImmutableList());
  }

  void close() {
    List<PeerLink> all = List.copyOf(links.values());
    links.clear();
    all.forEach(link -> link.close("shutting down"));
  }

  ImmutableList<LinkView> views() {
    return links.values().stream().map(PeerLink::view).collect(ImmutableList.toImmutableList());
  }
}
