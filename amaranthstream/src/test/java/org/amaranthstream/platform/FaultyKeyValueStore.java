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
 * An in-memory key-value service that can fail in the ways that the real one does.
 *
 * <p>Not thread safe.
 */
public final class FaultyKeyValueStore implements KeyValueStore {
  /** Faults of a call. */
  public enum Fault {
    /** The call succeeds. */
    NONE,
    /** The call is rejected and does not take effect. */
    OUTAGE,
    /** The call is lost and does not take effect. */
    LOST_BEFORE,
    /** The call takes effect, but its response is lost. */
    LOST_AFTER,
    /** The call does not take effect until {@link #completeOldestHeldCall} runs it. */
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

  /** Returns an empty store whose leases never expire. */
  public static FaultyKeyValueStore create() {
    return new FaultyKeyValueStore(() -> 0);
  }

  /** Returns an empty store whose leases expire by the given clock. */
  public static FaultyKeyValueStore create(LongSupplier nowNanos) {
    return new FaultyKeyValueStore(nowNanos);
  }

  /** Applies {@code fault} to all calls until it is changed. */
  public void setFault(Fault fault) {
    this.fault = fault;
    this.oneTime = false;
  }

  /** Applies {@code fault} to the next call only. */
  public void failNext(Fault fault) {
    this.fault = fault;
    this.oneTime = true;
  }

  /** Sets whether reads return the previous value of an entry instead of the current one. */
  public void setStaleReads(boolean staleReads) {
    this.staleReads = staleReads;
  }

  /** Completes the oldest held call, which takes effect now. */
  public void completeOldestHeldCall() {
    if (!held.isEmpty()) {
      held.remove().run();
    }
  }

  /** Completes all held calls, oldest first. */
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

  /** Returns the current entry of {@code key}, without counting as a call. */
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
