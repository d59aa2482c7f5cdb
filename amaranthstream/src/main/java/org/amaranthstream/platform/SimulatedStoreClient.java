package org.amaranthstream.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/** One client's way to a {@link SimulatedStore}, with faults that a test switches. */
public final class SimulatedStoreClient implements TransactionalStore {
  private static final Duration LATENCY = Duration.ofMillis(4);
  private static final Duration TIMEOUT = Duration.ofMillis(1_200);
  private static final ErrorDetail NO_ANSWER =
      ErrorDetail.of(ResultCode.PLATFORM_UNAVAILABLE, "no answer in time");
  private static final ErrorDetail REFUSED =
      ErrorDetail.of(ResultCode.PLATFORM_UNAVAILABLE, "the store answered HTTP 503");

  /** What happens to writes. */
  public enum WriteFault {
    NONE,
    /** The write takes effect and its answer is lost. */
    ANSWER_LOST,
    /** The write gets no answer and takes effect later, if its conditions hold then. */
    APPLIED_LATE
  }

  private final SimulatedStore store;
  private final TimerService timers;
  private boolean isSilent;
  private boolean isRefused;
  private boolean areReadsFailing;
  private WriteFault writeFault = WriteFault.NONE;
  private Duration lateBy = Duration.ofSeconds(3);
  private int pageSize = 500;

  SimulatedStoreClient(SimulatedStore store, TimerService timers) {
    this.store = store;
    this.timers = timers;
  }

  /** Cuts the client off: calls get no answer and do not arrive. */
  public void setSilent(boolean isSilent) {
    this.isSilent = isSilent;
  }

  /** Lets the store answer 503 to this client. */
  public void setRefused(boolean isRefused) {
    this.isRefused = isRefused;
  }

  /** Sets what happens to writes, and how late a late one is. */
  public void setWriteFault(WriteFault fault, Duration lateBy) {
    this.writeFault = fault;
    this.lateBy = lateBy;
  }

  /** Lets single reads fail until they are let through again; everything else works. */
  public void setReadsFailing(boolean areReadsFailing) {
    this.areReadsFailing = areReadsFailing;
  }

  /** Sets the number of entries of a page. */
  public void setPageSize(int pageSize) {
    this.pageSize = pageSize;
  }

  private <T> CompletableFuture<T> call(Supplier<T> effect, T refused, T lost) {
    CompletableFuture<T> reply = new CompletableFuture<>();
    if (isSilent) {
      timers.after(TIMEOUT, () -> reply.complete(lost));
    } else if (isRefused) {
      timers.after(LATENCY, () -> reply.complete(refused));
    } else {
      store.countCall();
      T result = effect.get();
      timers.after(LATENCY, () -> reply.complete(result));
    }
    return reply;
  }

  private static <T> Result<T> failure(ErrorDetail error) {
    return Result.failure(error);
  }

  @Override
  public CompletableFuture<Result<Optional<KvEntry>>> get(String key) {
    if (areReadsFailing) {
      return call(() -> failure(REFUSED), failure(REFUSED), failure(NO_ANSWER));
    }
    return call(() -> Result.success(store.entry(key)), failure(REFUSED), failure(NO_ANSWER));
  }

  @Override
  public CompletableFuture<Result<KvPage>> range(String prefix, String after) {
    return call(
        () -> Result.success(store.range(prefix, after, pageSize)),
        failure(REFUSED),
        failure(NO_ANSWER));
  }

  @Override
  public CompletableFuture<WatchReply> watch(String prefix, Revision after, Duration wait) {
    CompletableFuture<WatchReply> reply = new CompletableFuture<>();
    if (isRefused) {
      timers.after(LATENCY, () -> reply.complete(new WatchReply.Failed(REFUSED)));
      return reply;
    }
    timers.after(wait.plus(TIMEOUT), () -> reply.complete(new WatchReply.Failed(NO_ANSWER)));
    if (isSilent) {
      return reply;
    }
    store.countCall();
    timers.after(
        wait,
        () -> {
          if (!isSilent) {
            reply.complete(store.noChanges());
          }
        });
    completeOnChange(prefix, after, reply);
    return reply;
  }

  private void completeOnChange(
      String prefix, Revision after, CompletableFuture<WatchReply> reply) {
    if (reply.isDone() || isSilent) {
      return;
    }
    Optional<WatchReply> found = store.changes(prefix, after);
    if (found.isPresent()) {
      timers.after(LATENCY, () -> reply.complete(found.get()));
    } else {
      store.onChange(() -> completeOnChange(prefix, after, reply));
    }
  }

  @Override
  public CompletableFuture<TransactionReply> transact(Transaction transaction) {
    TransactionReply lost = new TransactionReply.Unknown(NO_ANSWER);
    if (!isSilent && !isRefused && writeFault != WriteFault.NONE) {
      Duration delay = writeFault == WriteFault.APPLIED_LATE ? lateBy : Duration.ZERO;
      timers.after(delay, () -> store.transact(transaction));
      CompletableFuture<TransactionReply> reply = new CompletableFuture<>();
      timers.after(TIMEOUT, () -> reply.complete(lost));
      return reply;
    }
    return call(() -> store.transact(transaction), new TransactionReply.NotDone(REFUSED), lost);
  }

  @Override
  public CompletableFuture<Result<GrantedLease>> grantLease(Duration ttl) {
    return call(() -> Result.success(store.grant(ttl)), failure(REFUSED), failure(NO_ANSWER));
  }

  @Override
  public CompletableFuture<RenewalReply> renewLease(LeaseId lease) {
    return call(
        () -> store.renew(lease) ? new RenewalReply.Renewed() : new RenewalReply.Ended(),
        new RenewalReply.Failed(REFUSED),
        new RenewalReply.Failed(NO_ANSWER));
  }

  @Override
  public CompletableFuture<Result<LeaseId>> endLease(LeaseId lease) {
    return call(
        () -> {
          store.end(lease);
          return Result.success(lease);
        },
        failure(REFUSED),
        failure(NO_ANSWER));
  }
}
