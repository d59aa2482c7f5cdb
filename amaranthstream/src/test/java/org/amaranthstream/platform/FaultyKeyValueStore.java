package org.amaranthstream.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/**
 * A key-value service in memory whose calls can fail in the ways that the real one does. Not thread
 * safe.
 */
public final class FaultyKeyValueStore implements KeyValueStore {
  /** What happens to a call. */
  public enum Fault {
    /** It works. */
    NONE,
    /** It is refused and does not take effect. */
    OUTAGE,
    /** It does not take effect, and its answer is lost. */
    LOST_BEFORE,
    /** It takes effect, and its answer is lost. */
    LOST_AFTER,
    /** It neither takes effect nor answers until it is let go. */
    HELD
  }

  private final Map<String, KvEntry> entries = new TreeMap<>();
  private final Map<String, KvEntry> previous = new HashMap<>();
  private final Map<LeaseId, Lease> leases = new HashMap<>();
  private final LongSupplier nowNanos;
  private final Deque<Runnable> held = new ArrayDeque<>();
  private Fault fault = Fault.NONE;
  private boolean oneTime;
  private boolean staleReads;
  private long revision;
  private int writes;
  private int nextLease;

  private FaultyKeyValueStore(LongSupplier nowNanos) {
    this.nowNanos = nowNanos;
  }

  /** Returns an empty store whose leases never end by themselves. */
  public static FaultyKeyValueStore create() {
    return new FaultyKeyValueStore(() -> 0);
  }

  /** Returns an empty store whose leases end by the given clock. */
  public static FaultyKeyValueStore create(LongSupplier nowNanos) {
    return new FaultyKeyValueStore(nowNanos);
  }

  /** Makes all calls have {@code fault} until it is changed. */
  public void setFault(Fault fault) {
    this.fault = fault;
    this.oneTime = false;
  }

  /** Makes the next call have {@code fault}. */
  public void failNext(Fault fault) {
    this.fault = fault;
    this.oneTime = true;
  }

  /** Makes reads return the value before the newest, where there is one. */
  public void setStaleReads(boolean staleReads) {
    this.staleReads = staleReads;
  }

  /** Lets the oldest held call take effect. */
  public void completeOldestHeldCall() {
    if (!held.isEmpty()) {
      held.remove().run();
    }
  }

  /** Lets all held calls take effect. */
  public void completeHeldCalls() {
    while (!held.isEmpty()) {
      completeOldestHeldCall();
    }
  }

  private void endLease(LeaseId id) {
    Lease lease = leases.remove(id);
    if (lease != null) {
      lease.keys.forEach(this::remove);
    }
  }

  private void endExpiredLeases() {
    for (LeaseId id : new ArrayList<>(leases.keySet())) {
      if (leases.get(id).endNanos - nowNanos.getAsLong() <= 0) {
        endLease(id);
      }
    }
  }

  /** Returns the entry of {@code key} as it is. */
  public Optional<KvEntry> peek(String key) {
    return Optional.ofNullable(entries.get(key));
  }

  /** Returns the number of conditional writes that were sent. */
  public int writes() {
    return writes;
  }

  @Override
  public CompletableFuture<Result<Optional<KvEntry>>> get(String key) {
    return call(() -> Result.success(read(key)), FaultyKeyValueStore::lost);
  }

  @Override
  public CompletableFuture<Result<List<KvEntry>>> list(String prefix) {
    return call(
        () ->
            Result.success(
                entries.values().stream().filter(e -> e.key().startsWith(prefix)).toList()),
        FaultyKeyValueStore::lost);
  }

  @Override
  public CompletableFuture<WriteReply> compareAndSwap(
      String key, Revision expected, byte[] value, Optional<LeaseId> lease) {
    byte[] copy = value.clone();
    return write(
        key,
        expected,
        () -> {
          if (lease.isPresent() && !leases.containsKey(lease.get())) {
            return new WriteReply.Unavailable("lease ended", Optional.empty());
          }
          lease.ifPresent(id -> leases.get(id).keys.add(key));
          put(key, copy);
          return new WriteReply.Written(Revision.of(revision));
        });
  }

  @Override
  public CompletableFuture<WriteReply> compareAndDelete(String key, Revision expected) {
    return write(
        key,
        expected,
        () -> {
          remove(key);
          return new WriteReply.Written(Revision.of(revision));
        });
  }

  @Override
  public CompletableFuture<Result<LeaseId>> grantLease(Duration ttl) {
    return call(
        () -> {
          LeaseId lease = LeaseId.of("lease-" + nextLease++);
          leases.put(lease, new Lease(ttl, nowNanos.getAsLong()));
          return Result.success(lease);
        },
        FaultyKeyValueStore::lost);
  }

  @Override
  public CompletableFuture<Result<LeaseId>> renewLease(LeaseId lease) {
    return call(
        () -> {
          if (!leases.containsKey(lease)) {
            return Result.failure(ResultCode.PLATFORM_UNAVAILABLE, "lease ended");
          }
          leases.get(lease).renew(nowNanos.getAsLong());
          return Result.success(lease);
        },
        FaultyKeyValueStore::lost);
  }

  @Override
  public CompletableFuture<Result<LeaseId>> revokeLease(LeaseId lease) {
    return call(
        () -> {
          endLease(lease);
          return Result.success(lease);
        },
        FaultyKeyValueStore::lost);
  }

  @Override
  public CompletableFuture<Result<Optional<KvEntry>>> watch(
      String key, Revision after, Duration wait) {
    return get(key);
  }

  private CompletableFuture<WriteReply> write(
      String key, Revision expected, Supplier<WriteReply> effect) {
    writes++;
    return call(
        () -> {
          Revision current = peek(key).map(KvEntry::revision).orElse(Revision.of(0));
          return current.equals(expected) ? effect.get() : new WriteReply.Conflict(current);
        },
        reason ->
            reason.equals("outage")
                ? new WriteReply.Unavailable(reason, Optional.empty())
                : new WriteReply.Unknown(reason));
  }

  private <T> CompletableFuture<T> call(Supplier<T> action, Function<String, T> failure) {
    Supplier<T> effect =
        () -> {
          endExpiredLeases();
          return action.get();
        };
    Fault callFault = fault;
    if (oneTime) {
      fault = Fault.NONE;
      oneTime = false;
    }
    CompletableFuture<T> reply = new CompletableFuture<>();
    switch (callFault) {
      case NONE -> reply.complete(effect.get());
      case OUTAGE -> reply.complete(failure.apply("outage"));
      case LOST_BEFORE -> reply.complete(failure.apply("lost"));
      case LOST_AFTER -> {
        T lost = effect.get();
        reply.complete(lost == null ? lost : failure.apply("lost"));
      }
      default -> held.add(() -> reply.complete(effect.get()));
    }
    return reply;
  }

  private Optional<KvEntry> read(String key) {
    return staleReads ? Optional.ofNullable(previous.get(key)) : peek(key);
  }

  private void put(String key, byte[] value) {
    KvEntry old = entries.get(key);
    if (old != null) {
      previous.put(key, old);
    }
    entries.put(key, new KvEntry(key, value, Revision.of(++revision)));
  }

  private void remove(String key) {
    KvEntry old = entries.remove(key);
    if (old != null) {
      previous.put(key, old);
      revision++;
    }
  }

  private static <T> Result<T> lost(String reason) {
    return Result.failure(ResultCode.PLATFORM_UNAVAILABLE, reason);
  }

  private static final class Lease {
    private final List<String> keys = new ArrayList<>();
    private final Duration ttl;
    private long endNanos;

    private Lease(Duration ttl, long nowNanos) {
      this.ttl = ttl;
      renew(nowNanos);
    }

    private void renew(long nowNanos) {
      endNanos = nowNanos + ttl.toNanos();
    }
  }
}
