package org.amaranthstream.platform;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.time.TimerService;

/**
 * The state of an in-memory store in virtual time: entries, leases and history. {@link #client}
 * returns clients on which faults can be injected independently.
 */
public final class SimulatedStore {
  private final TimerService timers;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<KvChange> history = new ArrayList<>();
  private final Map<LeaseId, Lease> leases = new HashMap<>();
  private final List<Runnable> watchers = new ArrayList<>();
  private long revision = 10;
  private long compactedUpTo = 10;
  private long nextLease = 100;
  private int calls;

  private final Map<String, Integer> listings = new HashMap<>();

  private record Item(KvEntry entry, Optional<LeaseId> lease) {}

  private static final class Lease {
    private Duration ttl = Duration.ZERO;
    private long generation;
  }

  /** Creates an empty store. */
  public SimulatedStore(TimerService timers) {
    this.timers = timers;
  }

  /** Returns a client without faults. */
  public SimulatedStoreClient client() {
    return new SimulatedStoreClient(this, timers);
  }

  /** Returns a new client that receives its responses on {@code clientTimers}. */
  public SimulatedStoreClient client(TimerService clientTimers) {
    return new SimulatedStoreClient(this, clientTimers);
  }

  /** Returns how often the entries with {@code prefix} were listed. */
  public int listings(String prefix) {
    return listings.getOrDefault(prefix, 0);
  }

  /** Returns the number of calls that reached the store. */
  public int calls() {
    return calls;
  }

  void countCall() {
    calls++;
  }

  /** Returns the entry of {@code key}, empty if there is none. */
  public Optional<KvEntry> entry(String key) {
    return Optional.ofNullable(items.get(key)).map(Item::entry);
  }

  /** Returns the keys that start with {@code prefix}. */
  public ImmutableList<String> keys(String prefix) {
    return items.keySet().stream()
        .filter(key -> key.startsWith(prefix))
        .collect(ImmutableList.toImmutableList());
  }

  /** Writes an entry directly, as the operator or a backend server does. */
  public void put(String key, byte[] value) {
    write(new Transaction.Write(key, value, Optional.empty()), ++revision);
    notifyWatchers();
  }

  /** Removes an entry directly, as the operator or the platform does. */
  public void remove(String key) {
    if (items.containsKey(key)) {
      delete(key, ++revision);
      notifyWatchers();
    }
  }

  /** Drops the history of all changes, so that watches must list again. */
  public void compactHistory() {
    history.clear();
    compactedUpTo = revision;
    notifyWatchers();
  }

  /** Expires a lease at once, as an outage during which leases expire does. */
  public void expire(LeaseId lease) {
    end(lease);
  }

  /** Returns all valid leases. */
  public ImmutableList<LeaseId> leases() {
    return ImmutableList.copyOf(leases.keySet());
  }

  KvPage range(String prefix, String after, int pageSize) {
    listings.merge(prefix, 1, Integer::sum);
    ImmutableList.Builder<KvEntry> page = ImmutableList.builder();
    int taken = 0;
    for (Item item : items.tailMap(after.isEmpty() ? prefix : after, after.isEmpty()).values()) {
      if (!item.entry().key().startsWith(prefix)) {
        break;
      }
      if (taken == pageSize) {
        return new KvPage(page.build(), true, Revision.of(revision));
      }
      page.add(item.entry());
      taken++;
    }
    return new KvPage(page.build(), false, Revision.of(revision));
  }

  /** Returns the reply to a watch, empty while there are no changes. */
  Optional<WatchReply> changes(String prefix, Revision after) {
    if (after.value() < compactedUpTo) {
      return Optional.of(new WatchReply.HistoryLost());
    }
    ImmutableList<KvChange> changes =
        history.stream()
            .filter(change -> change.key().startsWith(prefix))
            .filter(change -> change.revision().isAfter(after))
            .collect(ImmutableList.toImmutableList());
    return changes.isEmpty()
        ? Optional.empty()
        : Optional.of(new WatchReply.Changes(changes, Revision.of(revision)));
  }

  WatchReply noChanges() {
    return new WatchReply.Changes(ImmutableList.of(), Revision.of(revision));
  }

  void onChange(Runnable watcher) {
    watchers.add(watcher);
  }

  TransactionReply transact(Transaction transaction) {
    ImmutableList.Builder<KvEntry> current = ImmutableList.builder();
    boolean holds = true;
    for (Transaction.Expectation expectation : transaction.expectations()) {
      Optional<KvEntry> entry = entry(expectation.key());
      entry.ifPresent(current::add);
      long found = entry.map(e -> e.revision().value()).orElse(0L);
      holds &= found == expectation.revision().value();
    }
    if (!holds) {
      return new TransactionReply.Conflict(current.build());
    }
    for (Transaction.Write write : transaction.writes()) {
      if (write.lease().isPresent() && !leases.containsKey(write.lease().get())) {
        return new TransactionReply.LeaseEnded();
      }
    }
    revision++;
    transaction.writes().forEach(write -> write(write, revision));
    transaction.removals().forEach(key -> delete(key, revision));
    notifyWatchers();
    return new TransactionReply.Committed(Revision.of(revision));
  }

  private void write(Transaction.Write write, long at) {
    KvEntry entry = new KvEntry(write.key(), write.value(), Revision.of(at));
    items.put(write.key(), new Item(entry, write.lease()));
    history.add(new KvChange.Put(entry));
  }

  private void delete(String key, long at) {
    if (items.remove(key) != null) {
      history.add(new KvChange.Removed(key, Revision.of(at)));
    }
  }

  GrantedLease grant(Duration ttl) {
    LeaseId id = LeaseId.of(Long.toString(nextLease++));
    Lease lease = new Lease();
    lease.ttl = ttl;
    leases.put(id, lease);
    schedule(id, lease);
    return new GrantedLease(id, ttl);
  }

  boolean renew(LeaseId id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return false;
    }
    schedule(id, lease);
    return true;
  }

  private void schedule(LeaseId id, Lease lease) {
    long generation = ++lease.generation;
    timers.after(
        lease.ttl,
        () -> {
          if (lease.generation == generation) {
            end(id);
          }
        });
  }

  void end(LeaseId id) {
    if (leases.remove(id) == null) {
      return;
    }
    List<String> ended =
        items.values().stream()
            .filter(item -> item.lease().equals(Optional.of(id)))
            .map(item -> item.entry().key())
            .toList();
    if (!ended.isEmpty()) {
      revision++;
      ended.forEach(key -> delete(key, revision));
      notifyWatchers();
    }
  }

  private void notifyWatchers() {
    List<Runnable> notified = List.copyOf(watchers);
    watchers.clear();
    notified.forEach(Runnable::run);
  }
}
