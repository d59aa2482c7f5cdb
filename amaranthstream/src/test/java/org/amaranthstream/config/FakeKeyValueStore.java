package org.amaranthstream.config;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.platform.KeyValueStore;
import org.amaranthstream.platform.KvEntry;
import org.amaranthstream.platform.WriteReply;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/**
 * A fake key-value service with a single entry. It can simulate outages, lost requests and
 * responses, stalled watches, stale reads and a restore from a backup. Lists, deletes and leases
 * are not supported, because the configuration manager does not use them. Not thread safe.
 */
public final class FakeKeyValueStore implements KeyValueStore {
  private static final Duration LATENCY = Duration.ofMillis(5);
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final TimerService timers;
  private final List<Watch> watches = new ArrayList<>();
  private Optional<KvEntry> entry = Optional.empty();
  private Optional<KvEntry> previous = Optional.empty();
  private Optional<KvEntry> backup = Optional.empty();
  private boolean outage;
  private boolean watchesStalled;
  private int staleReads;
  private WriteFault nextWrite = WriteFault.NONE;

  /** Fault of the next write. */
  enum WriteFault {
    NONE,
    /** The write does not take effect and times out. */
    REQUEST_LOST,
    /** The write takes effect, but its response is lost and it times out. */
    ANSWER_LOST
  }

  private record Watch(Revision after, CompletableFuture<Result<Optional<KvEntry>>> response) {}

  /** Creates an empty service that completes calls on {@code timers}. */
  public FakeKeyValueStore(TimerService timers) {
    this.timers = timers;
  }

  void setOutage(boolean outage) {
    this.outage = outage;
  }

  void setWatchesStalled(boolean stalled) {
    this.watchesStalled = stalled;
  }

  void makeReadsStale(int reads) {
    this.staleReads = reads;
  }

  void failNextWrite(WriteFault fault) {
    this.nextWrite = fault;
  }

  void backUp() {
    backup = entry;
  }

  /** Restores the entry from the backup, with its revision at that time. */
  void restore() {
    entry = backup;
    previous = backup;
  }

  Optional<ConfigDocument> document() {
    return entry
        .map(value -> ConfigDocumentCodec.decode(value.value()))
        .map(decoded -> ((Result.Success<ConfigDocument>) decoded).value());
  }

  @Override
  public CompletableFuture<Result<Optional<KvEntry>>> get(String key) {
    return completeAfter(LATENCY, () -> outage ? unavailable() : Result.success(read()));
  }

  private Optional<KvEntry> read() {
    if (staleReads == 0) {
      return entry;
    }
    staleReads--;
    return previous;
  }

  @Override
  public CompletableFuture<WriteReply> compareAndSwap(
      String key, Revision expected, byte[] value, Optional<LeaseId> lease) {
    WriteFault fault = nextWrite;
    nextWrite = WriteFault.NONE;
    CompletableFuture<WriteReply> response = new CompletableFuture<>();
    if (outage) {
      timers.after(
          LATENCY, () -> response.complete(new WriteReply.Unavailable("outage", Optional.empty())));
      return response;
    }
    timers.after(LATENCY, () -> completeWrite(key, expected, value, fault, response));
    return response;
  }

  private void completeWrite(
      String key,
      Revision expected,
      byte[] value,
      WriteFault fault,
      CompletableFuture<WriteReply> response) {
    WriteReply result =
        fault == WriteFault.REQUEST_LOST
            ? new WriteReply.Unknown("lost")
            : swap(key, expected, value);
    if (fault == WriteFault.NONE) {
      timers.after(LATENCY, () -> response.complete(result));
    } else {
      timers.after(TIMEOUT, () -> response.complete(new WriteReply.Unknown("lost")));
    }
  }

  private WriteReply swap(String key, Revision expected, byte[] value) {
    Revision current = entry.map(KvEntry::revision).orElse(Revision.of(0));
    if (!current.equals(expected)) {
      return new WriteReply.Conflict(current);
    }
    previous = entry;
    Revision revision = Revision.of(current.value() + 1);
    entry = Optional.of(new KvEntry(key, value, revision));
    if (!watchesStalled) {
      notifyWatches();
    }
    return new WriteReply.Written(revision);
  }

  private void notifyWatches() {
    for (Watch watch : ImmutableList.copyOf(watches)) {
      if (!outage && entry.orElseThrow().revision().isAfter(watch.after)) {
        watches.remove(watch);
        watch.response.complete(Result.success(entry));
      }
    }
  }

  @Override
  public CompletableFuture<Result<Optional<KvEntry>>> watch(
      String key, Revision after, Duration wait) {
    if (outage) {
      return completeAfter(LATENCY, FakeKeyValueStore::unavailable);
    }
    if (entry.isPresent() && entry.get().revision().isAfter(after)) {
      return completeAfter(LATENCY, () -> Result.success(entry));
    }
    Watch watch = new Watch(after, new CompletableFuture<>());
    watches.add(watch);
    if (!watchesStalled) {
      timers.after(wait, () -> completeWatch(watch));
    }
    return watch.response;
  }

  private void completeWatch(Watch watch) {
    watches.remove(watch);
    watch.response.complete(outage ? unavailable() : Result.success(Optional.empty()));
  }

  private <T> CompletableFuture<T> completeAfter(Duration delay, Supplier<T> value) {
    CompletableFuture<T> future = new CompletableFuture<>();
    timers.after(delay, () -> future.complete(value.get()));
    return future;
  }

  private static <T> Result<T> unavailable() {
    return Result.failure(ResultCode.PLATFORM_UNAVAILABLE, "outage");
  }

  @Override
  public CompletableFuture<Result<List<KvEntry>>> list(String prefix) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<WriteReply> compareAndDelete(String key, Revision expected) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<Result<LeaseId>> grantLease(Duration ttl) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<Result<LeaseId>> renewLease(LeaseId lease) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<Result<LeaseId>> revokeLease(LeaseId lease) {
    throw new UnsupportedOperationException();
  }
}
