package org.amaranthstream.standins.kv;

import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Entries and leases of the key-value service.
 *
 * <p>Not thread safe. Reads no clock: methods that depend on time take the current time.
 */
final class KvState {
  /** Result of a write under a lease that does not exist. */
  static final long NO_LEASE = Long.MIN_VALUE;

  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final Map<String, Lease> leases = new HashMap<>();
  private final Consumer<String> onChange;
  private long revision;
  private long leaseSequence;

  /**
   * Creates an empty state that calls {@code onChange} with each key that is written or removed.
   */
  KvState(Consumer<String> onChange) {
    this.onChange = onChange;
  }

  /** Returns the entry of a key, or null if there is none. */
  @Nullable Entry get(String key) {
    return entries.get(key);
  }

  /** Returns a copy of the entries whose keys begin with {@code prefix}, sorted by key. */
  Map<String, Entry> list(String prefix) {
    return new TreeMap<>(entries.subMap(prefix, true, prefix + Character.MAX_VALUE, false));
  }

  /** Returns a copy of all entries, sorted by key. */
  Map<String, Entry> copy() {
    return new TreeMap<>(entries);
  }

  /** Returns the revision of an entry, or 0 if there is none. */
  long revisionOf(String key) {
    Entry entry = entries.get(key);
    return entry == null ? 0 : entry.revision();
  }

  /**
   * Writes an entry if its revision is {@code expected}; 0 expects that there is none.
   *
   * @return the new revision, 0 on a conflict, or {@link #NO_LEASE}
   */
  long put(String key, long expected, Buffer value, @Nullable String lease) {
    if (revisionOf(key) != expected) {
      return 0;
    }
    if (lease != null && !leases.containsKey(lease)) {
      return NO_LEASE;
    }
    revision++;
    entries.put(key, new Entry(value, revision, lease));
    onChange.accept(key);
    return revision;
  }

  /** Deletes an entry if it exists and its revision is {@code expected}; returns true if it did. */
  boolean delete(String key, long expected) {
    if (revisionOf(key) != expected || expected == 0) {
      return false;
    }
    remove(key);
    return true;
  }

  /** Grants a lease and returns its id. */
  String grant(long ttlMs, long nowNanos) {
    leaseSequence++;
    String id = "lease-" + leaseSequence;
    long ttlNanos = TimeUnit.MILLISECONDS.toNanos(ttlMs);
    leases.put(id, new Lease(ttlNanos, nowNanos + ttlNanos));
    return id;
  }

  /** Extends a lease by its full duration; returns false if it does not exist. */
  boolean renew(String id, long nowNanos) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return false;
    }
    leases.put(id, new Lease(lease.ttlNanos(), nowNanos + lease.ttlNanos()));
    return true;
  }

  /** Ends a lease and removes its entries. */
  void revoke(String id) {
    leases.remove(id);
    List<String> keys =
        entries.entrySet().stream()
            .filter(entry -> Objects.equals(entry.getValue().lease(), id))
            .map(Map.Entry::getKey)
            .toList();
    keys.forEach(this::remove);
  }

  /** Revokes all expired leases. */
  void expire(long nowNanos) {
    List<String> expired =
        leases.entrySet().stream()
            .filter(lease -> lease.getValue().endNanos() - nowNanos <= 0)
            .map(Map.Entry::getKey)
            .toList();
    expired.forEach(this::revoke);
  }

  private void remove(String key) {
    entries.remove(key);
    revision++;
    onChange.accept(key);
  }

  record Entry(Buffer value, long revision, @Nullable String lease) {}

  private record Lease(long ttlNanos, long endNanos) {}
}
