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

/** One entry of a key-value service in virtual time, with the faults of the real one. */
public final class FakeKeyValueStore implements KeyValueStore {
  private static final Duration LATENCY = Duration.ofMillis(5);
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final TimerService timers;
  private final List<Watch> watches = new ArrayList<>();
  private Optional<KvEntry> entry = Optional.empty();
  private Optional<KvEntry> former = Optional.empty();
  private Optional<KvEntry> backup = Optional.empty();
  private boolean down;
  private boolean watchesSilent;
  private int staleReads;
  private WriteFault nextWrite = WriteFault.NONE;

  /** What happens to the next write. */
  enum WriteFault {
    NONE,
    REQUEST_LOST,
    ANSWER_LOST
  }

  private record Watch(Revision after, CompletableFuture<Result<Optional<KvEntry>>> reply) {}

  /** Creates an empty service whose answers come by {@code timers}. */
  public FakeKeyValueStore(TimerService timers) {
    this.timers = timers;
  }

  void setDown(boolean down) {
    this.down = down;
  }

  void setWatchesSilent(boolean silent) {
    this.watchesSilent = silent;
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

  /** Sets the entry back to the backup, with the revision that it had then. */
  void restore() {
    entry = backup;
    former = backup;
  }

  Optional<ConfigDocument> document() {
    return entry
        .map(value -> ConfigDocumentCodec.decode(value.value()))
        .map(decoded -> ((Result.Success<ConfigDocument>) decoded).value());
  }

  @Override
  public CompletableFuture<Result<Optional<KvEntry>>> get(String key) {
    return later(LATENCY, () -> down ? unavailable() : Result.success(read()));
  }

  private Optional<KvEntry> read() {
    if (staleReads == 0) {
      return entry;
    }
    staleReads--;
    return former;
  }

  @Override
  public CompletableFuture<WriteReply> compareAndSwap(
      String key, Revision expected, byte[] value, Optional<LeaseId> lease) {
    WriteFault fault = nextWrite;
    nextWrite = WriteFault.NONE;
    CompletableFuture<WriteReply> reply = new CompletableFuture<>();
    if (down) {
      timers.after(
          LATENCY, () -> reply.complete(new WriteReply.Unavailable("outage", Optional.empty())));
      return reply;
    }
    timers.after(LATENCY, () -> endWrite(key, expected, value, fault, reply));
    return reply;
  }

  private void endWrite(
      String key,
      Revision expected,
      byte[] value,
      WriteFault fault,
      CompletableFuture<WriteReply> reply) {
    WriteReply answer =
        fault == WriteFault.REQUEST_LOST
            ? new WriteReply.Unknown("lost")
            : swap(key, expected, value);
    if (fault == WriteFault.NONE) {
      timers.after(LATENCY, () -> reply.complete(answer));
    } else {
      timers.after(TIMEOUT, () -> reply.complete(new WriteReply.Unknown("lost")));
    }
  }

  private WriteReply swap(String key, Revision expected, byte[] value) {
    Revision current = entry.map(KvEntry::revision).orElse(Revision.of(0));
    if (!current.equals(expected)) {
      return new WriteReply.Conflict(current);
    }
    former = entry;
    Revision revision = Revision.of(current.value() + 1);
    entry = Optional.of(new KvEntry(key, value, revision));
    if (!watchesSilent) {
      notifyWatches();
    }
    return new WriteReply.Written(revision);
  }

  private void notifyWatches() {
    for (Watch watch : ImmutableList.copyOf(watches)) {
      if (!down && entry.orElseThrow().revision().isAfter(watch.after)) {
        watches.remove(watch);
        watch.reply.complete(Result.success(entry));
      }
    }
  }

  @Override
  public CompletableFuture<Result<Optional<KvEntry>>> watch(
      String key, Revision after, Duration wait) {
    if (down) {
      return later(LATENCY, FakeKeyValueStore::unavailable);
    }
    if (entry.isPresent() && entry.get().revision().isAfter(after)) {
      return later(LATENCY, () -> Result.success(entry));
    }
    Watch watch = new Watch(after, new CompletableFuture<>());
    watches.add(watch);
    if (!watchesSilent) {
      timers.after(wait, () -> endWatch(watch));
    }
    return watch.reply;
  }

  private void endWatch(Watch watch) {
    watches.remove(watch);
    watch.reply.complete(down ? unavailable() : Result.success(Optional.empty()));
  }

  private <T> CompletableFuture<T> later(Duration delay, Supplier<T> value) {
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
