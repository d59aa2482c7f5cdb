package org.amaranthstream.fleet;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.platform.GrantedLease;
import org.amaranthstream.platform.KvEntry;
import org.amaranthstream.platform.KvPage;
import org.amaranthstream.platform.RenewalReply;
import org.amaranthstream.platform.StoreMonitor;
import org.amaranthstream.platform.Transaction;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.platform.TransactionalStore;
import org.amaranthstream.platform.WatchReply;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/**
 * A client that reports outcomes to a {@link StoreMonitor}, and ends the open watches with a call
 * that fails, as the client of the platform does.
 */
final class MonitoredStoreClient implements TransactionalStore {
  private static final ErrorDetail FAILED =
      ErrorDetail.of(ResultCode.PLATFORM_UNAVAILABLE, "no answer in time");

  private final TransactionalStore store;
  private final StoreMonitor monitor;
  private final Set<CompletableFuture<WatchReply>> watches = new LinkedHashSet<>();

  MonitoredStoreClient(TransactionalStore store, StoreMonitor monitor) {
    this.store = store;
    this.monitor = monitor;
  }

  private <T> T record(T reply, boolean isAnswered) {
    if (isAnswered) {
      monitor.onAnswered();
      return reply;
    }
    monitor.onFailed(FAILED.message());
    List<CompletableFuture<WatchReply>> open = List.copyOf(watches);
    watches.clear();
    open.forEach(watch -> watch.complete(new WatchReply.Failed(FAILED)));
    return reply;
  }

  private <T> Result<T> record(Result<T> result) {
    return record(result, result instanceof Result.Success);
  }

  @Override
  public CompletableFuture<WatchReply> watch(String prefix, Revision after, Duration wait) {
    long answeredBefore = monitor.answeredCount();
    CompletableFuture<WatchReply> reply = new CompletableFuture<>();
    watches.add(reply);
    store
        .watch(prefix, after, wait)
        .thenAccept(
            answer -> {
              boolean isAnswered = !(answer instanceof WatchReply.Failed);
              if (watches.remove(reply)
                  && (isAnswered || monitor.answeredCount() == answeredBefore)) {
                record(answer, isAnswered);
              }
              reply.complete(answer);
            });
    return reply;
  }

  @Override
  public CompletableFuture<Result<Optional<KvEntry>>> get(String key) {
    return store.get(key).thenApply(this::record);
  }

  @Override
  public CompletableFuture<Result<KvPage>> range(String prefix, String after) {
    return store.range(prefix, after).thenApply(this::record);
  }

  @Override
  public CompletableFuture<TransactionReply> transact(Transaction transaction) {
    return store
        .transact(transaction)
        .thenApply(
            reply ->
                record(
                    reply,
                    !(reply instanceof TransactionReply.NotDone
                        || reply instanceof TransactionReply.Unknown)));
  }

  @Override
  public CompletableFuture<Result<GrantedLease>> grantLease(Duration ttl) {
    return store.grantLease(ttl).thenApply(this::record);
  }

  @Override
  public CompletableFuture<RenewalReply> renewLease(LeaseId lease) {
    return store
        .renewLease(lease)
        .thenApply(reply -> record(reply, !(reply instanceof RenewalReply.Failed)));
  }

  @Override
  public CompletableFuture<Result<LeaseId>> endLease(LeaseId lease) {
    return store.endLease(lease).thenApply(this::record);
  }
}
