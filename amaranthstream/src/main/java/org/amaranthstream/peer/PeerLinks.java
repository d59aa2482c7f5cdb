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
 * Outbound links: those that the link selection requires, and others that are closed one minute
 * after their last use.
 *
 * <p>Used on the decision thread only.
 */
final class PeerLinks {
  private static final Duration UNUSED_TIMEOUT = Duration.ofMinutes(1);
  private static final int MAX_LINKS = 512;

  private final MembershipTable table;
  private final LinkSelection selection;
  private final PeerConnector connector;
  private final PeerLinkSettings settings;
  private final TimerService timers;
  private final Duty decisions;
  private final LinkListener listener;
  private final Random random = new Random();
  private final TreeMap<EntryVmId, PeerLink> links = new TreeMap<>();

  PeerLinks(
      MembershipTable table,
      LinkSelection selection,
      PeerConnector connector,
      PeerLinkSettings settings,
      TimerService timers,
      Duty decisions,
      LinkListener listener) {
    this.table = table;
    this.selection = selection;
    this.connector = connector;
    this.settings = settings;
    this.timers = timers;
    this.decisions = decisions;
    this.listener = listener;
  }

  /** Opens the required links, closes unused ones and applies the timeouts of the others. */
  void tick() {
    Set<EntryVmId> required = new HashSet<>();
    for (EntryVmId vm : selection.targets()) {
      required.add(vm);
      table.entryVm(vm).ifPresent(this::openOrUpdate);
    }
    for (PeerLink link : List.copyOf(links.values())) {
      boolean unused = link.unusedDuration().compareTo(UNUSED_TIMEOUT) >= 0;
      if (!required.contains(link.target()) && unused) {
        links.remove(link.target());
        link.close("unused");
      } else {
        link.tick();
      }
    }
  }

  /** Returns the link to {@code vm} and opens it if needed; empty if the address is unknown. */
  Optional<PeerLink> getOrOpen(EntryVmId vm) {
    PeerLink existing = links.get(vm);
    if (existing != null) {
      return Optional.of(existing);
    }
    return table.entryVm(vm).map(this::openOrUpdate);
  }

  /** Opens the link to {@code vm}, or sets the address of the existing link. */
  private @Nullable PeerLink openOrUpdate(EntryVmView vm) {
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
    return new PeerLink(vm, host, port, connector, settings, timers, decisions, backoff, listener);
  }

  /** Returns the link to {@code vm} if it is ready. */
  Optional<PeerLink> ready(EntryVmId vm) {
    return Optional.ofNullable(links.get(vm)).filter(PeerLink::isReady);
  }

  /** Returns all ready links. */
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
