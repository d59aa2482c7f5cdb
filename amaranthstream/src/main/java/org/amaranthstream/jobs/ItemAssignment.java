package org.amaranthstream.jobs;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.amaranthstream.ids.GroupId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.servers.TrackedServer;

/**
 * Assignment of the ready items of one job to servers with free slots, in one run of the scheduler.
 *
 * <p>An item with a partial text continues only at a server with the software that generated it,
 * because what two versions generate does not fit together. Not thread safe.
 */
final class ItemAssignment {
  private final OwnedJob job;
  private final Predicate<TrackedServer> isSlow;
  private final long nowNanos;
  private final Set<SoftwareVersion> available;
  private final Set<GroupId> needed;
  private final Set<TrackedServer> idle = new HashSet<>();

  private ItemAssignment(
      OwnedJob job,
      Predicate<TrackedServer> isSlow,
      Set<SoftwareVersion> available,
      Set<GroupId> needed,
      long nowNanos) {
    this.job = job;
    this.needed = needed;
    this.isSlow = isSlow;
    this.available = available;
    this.nowNanos = nowNanos;
  }

  /**
   * Returns the assignment of the items of {@code job}.
   *
   * @param servers the available servers of the job's services
   * @param isSlow returns true for servers that get the shortest items
   * @param needed the groups whose items go first
   */
  static ItemAssignment of(
      OwnedJob job,
      Collection<TrackedServer> servers,
      Predicate<TrackedServer> isSlow,
      Set<GroupId> needed,
      long nowNanos) {
    Set<SoftwareVersion> available =
        servers.stream()
            .map(server -> server.registration().softwareVersion())
            .collect(Collectors.toSet());
    return new ItemAssignment(job, isSlow, available, needed, nowNanos);
  }

  /** Returns true if no item was found for {@code server}. */
  boolean isIdle(TrackedServer server) {
    return idle.contains(server);
  }

  /**
   * Returns the item to start at {@code server}, empty if there is none. The text of an item that
   * begins anew is discarded.
   */
  Optional<ItemProgress> takeItemFor(TrackedServer server) {
    Optional<ItemProgress> continuing = select(server, item -> canStart(item, server));
    if (continuing.isPresent()) {
      return continuing;
    }
    Optional<ItemProgress> restarting = select(server, this::shouldRestart);
    if (restarting.isPresent()) {
      restarting.get().restart();
    } else {
      idle.add(server);
    }
    return restarting;
  }

  /** Returns true if an item is ready that can start at {@code server}. */
  boolean hasItemFor(TrackedServer server) {
    return select(server, item -> canStart(item, server)).isPresent();
  }

  private Optional<ItemProgress> select(TrackedServer server, Predicate<ItemProgress> isAllowed) {
    return ItemSelector.select(job.items(), isSlow.test(server), needed, isAllowed, nowNanos);
  }

  /** Returns true if {@code item} can start or continue at {@code server}. */
  boolean canStart(ItemProgress item, TrackedServer server) {
    ItemText text = item.text();
    boolean isContinuation = text.lastEvent() > 0;
    boolean mayBeOtherSoftware = available.size() > 1 && server.mayHaveRestarted(nowNanos);
    return text.canContinueAt(server.registration().softwareVersion())
        && !(isContinuation && mayBeOtherSoftware);
  }

  private boolean shouldRestart(ItemProgress item) {
    ItemText text = item.text();
    boolean hasServer = text.softwareVersion().filter(available::contains).isPresent();
    return RestartPolicy.shouldRestart(text.lastEvent(), hasServer, item.blockedTime(nowNanos));
  }
}
