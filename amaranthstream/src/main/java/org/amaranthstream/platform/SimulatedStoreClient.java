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

/** A client of a {@link SimulatedStore} on which tests can inject faults. */
public final class SimulatedStoreClient implements TransactionalStore {
  private static final Duration LATENCY = Duration.ofMillis(4);
  private static final Duration TIMEOUT = Duration.ofMillis(1_200);
  private static final ErrorDetail TIMED_OUT =
      ErrorDetail.of(ResultCode.PLATFORM_UNAVAILABLE, "no answer in time");
  private static final ErrorDetail REJECTED =
      ErrorDetail.of(ResultCode.PLATFORM_UNAVAILABLE, "the store answered HTTP 503");

  /** Faults of writes. */
  public enum WriteFault {
    NONE,
    /** The write takes effect, but its response is lost. */
    ANSWER_LOST,
    /** The write gets no response, and takes effect later if its conditions hold then. */
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
  private Duration readLatency = LATENCY;

  SimulatedStoreClient(SimulatedStore store, TimerService timers) {
    this.store = store;
    this.timers = timers;
  }

  /** Sets whether the client is partitioned: calls do not arrive and time out. */
  public void setSilent(boolean isSilent) {
    this.isSilent = isSilent;
  }

  /** Sets whether the store responds to this client with HTTP 503. */
  public void setRefused(boolean isRefused) {
    this.isRefused = isRefused;
  }

  /** Sets the fault of writes, and the delay of {@link WriteFault#APPLIED_LATE}. */
  public void setWriteFault(WriteFault fault, Duration lateBy) {
    this.writeFault = fault;
    this.lateBy = lateBy;
  }

  /** Sets whether reads of single entries fail; other calls are not affected. */
  public void setReadsFailing(boolean areReadsFailing) {
    this.areReadsFailing = areReadsFailing;
  }

  /** Sets the time until the responses to reads arrive, which are formed at once. */
  public void setReadLatency(Duration latency) {
    this.readLatency = latency;
  }

  /** Sets the maximum number of entries of a page. */
  public void setPageSize(int pageSize) {
    this.pageSize = pageSize;
  }

  private <T> CompletableFuture<T> call(Supplier<T> effect, T refused, T lost) {
    return call(effect, refused, lost, LATENCY);
  }

  private <T> CompletableFuture<T> call(Supplier<T> effect, T refused, T lost, Duration latency) {
    CompletableFuture<T> reply = new CompletableFuture<>();
    if (isSilent) {
      timers.after(TIMEOUT, () -> reply.complete(lost));
    } else if (isRefused) {
      timers.after(LATENCY, () -> reply.complete(refused));
    } else {
      store.countCall();
      T result = effect.get();
      timers.after(latency, () -> reply.complete(result));
    }
    return reply;
  }

  private static <T> Result<T> failure(ErrorDetail error) {
    return Result.failure(error);
  }

  @Override
  public CompletableFuture<Result<Optional<KvEntry>>> get(String key) {
    if (areReadsFailing) {
      return call(() -> failure(REJECTED), failure(REJECTED), failure(TIMED_OUT));
    }
    return call(() -> Result.success(store.entry(key)), failure(REJECTED), failure(TIMED_OUT));
  }

  @Override
  public CompletableFuture<Result<KvPage>> range(String prefix, String after) {
    return call(
        () -> Result.success(store.range(prefix, after, pageSize)),
        failure(REJECTED),
        failure(TIMED_OUT),
        readLatency);
  }

  @Override
  public CompletableFuture<WatchReply> watch(String prefix, Revision after, Duration wait) {
    CompletableFuture<WatchReply> reply = new CompletableFuture<>();
    if (isRefused) {
      timers.after(LATENCY, () -> reply.complete(new WatchReply.Failed(REJECTED)));
      return reply;
    }
    timers.after(wait.plus(TIMEOUT), () -> reply.complete(new WatchReply.Failed(TIMED_OUT)));
    if (isSilent) {
      return reply;
    }
    store.countCall();
    timers.after(
        wait,
        () -> {
          if (!isSilent) {
            reply.complete(store.changes(prefix, after).orElseGet(store::noChanges));
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
    TransactionReply lost = new TransactionReply.Unknown(TIMED_OUT);
    if (!isSilent && !isRefused && writeFault != WriteFault.NONE) {
      Duration delay = writeFault == WriteFault.APPLIED_LATE ? lateBy : Duration.ZERO;
      timers.after(delay, () -> store.transact(transaction));
      CompletableFuture<TransactionReply> reply = new CompletableFuture<>();
      timers.after(TIMEOUT, () -> reply.complete(lost));
      return reply;
    }
    return call(() -> store.transact(transaction), new TransactionReply.NotDone(REJECTED), lost);
  }

  @Override
  public CompletableFuture<Result<GrantedLease>> grantLease(Duration ttl) {
    return call(() -> Result.success(store.grant(ttl)), failure(REJECTED), failure(TIMED_OUT));
  }

  @Override
  public CompletableFuture<RenewalReply> renewLease(LeaseId lease) {
    return call(
        () -> store.renew(lease) ? new RenewalReply.Renewed() : new RenewalReply.Ended(),
        new RenewalReply.Failed(REJECTED),
        new RenewalReply.Failed(TIMED_OUT));
  }

  @Override
  public CompletableFuture<Result<LeaseId>> endLease(LeaseId lease) {
    return call(
        () -> {
          store.end(lease);
          return Result.success(lease);
        },
        failure(REJECTED),
        failure(TIMED_OUT));
  }
}
