package org.amaranthstream.jobs;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/**
 * Finds who answers a question about a job that this daemon does not own.
 *
 * <p>That is the owner; the store in the place of an owner that cannot be reached; and any daemon
 * that owns the job while the store cannot tell which. A job without a living owner is taken over
 * on the way. Used on one thread.
 */
final class OwnerLookup {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final JobStore store;
  private final JobBook book;
  private final JobKeeper keeper;
  private final RemoteJobs remote;

  OwnerLookup(JobStore store, JobBook book, JobKeeper keeper, RemoteJobs remote) {
    this.store = store;
    this.book = book;
    this.keeper = keeper;
    this.remote = remote;
  }

  /** A question to a daemon. */
  @FunctionalInterface
  interface AskPeer<T> {
    CompletableFuture<Result<T>> ask(EntryVmId vm);
  }

  /** A question to the store in the owner's place. */
  @FunctionalInterface
  interface AskStore<T> {
    CompletableFuture<Result<T>> ask(StoredOwner owner);
  }

  /** Asks the owner of {@code job}, or the store if the owner cannot be reached. */
  <T> CompletableFuture<Result<T>> ask(JobId job, AskPeer<T> peer, AskStore<T> fallback) {
    Optional<StoredOwner> known = book.owner(job);
    if (known.isPresent()) {
      return askOwner(known.get(), peer, fallback, true);
    }
    return lookUp(job, peer, owner -> askOwner(owner, peer, fallback, false));
  }

  private <T> CompletableFuture<Result<T>> lookUp(JobId job, AskPeer<T> peer, AskStore<T> next) {
    return store
        .owner(job)
        .thenCompose(
            result -> {
              if (result instanceof Result.Failure<Optional<StoredOwner>> failure) {
                return askAll(peer, failure.error());
              }
              Optional<StoredOwner> owner =
                  ((Result.Success<Optional<StoredOwner>>) result).value();
              if (owner.isEmpty()) {
                return failed(ResultCode.UNKNOWN_JOB, "there is no job " + job);
              }
              book.learn(owner.get());
              return next.ask(owner.get());
            });
  }

  /** The store is away: one of the other daemons may be the owner. */
  private <T> CompletableFuture<Result<T>> askAll(AskPeer<T> peer, ErrorDetail storeError) {
    List<CompletableFuture<Result<T>>> replies = new ArrayList<>();
    remote.others().forEach(vm -> replies.add(peer.ask(vm)));
    return FirstSuccess.of(replies)
        .thenApply(
            result -> result instanceof Result.Success ? result : Result.failure(storeError));
  }

  static <T> CompletableFuture<Result<T>> failed(ResultCode code, String message) {
    return CompletableFuture.completedFuture(Result.failure(code, message));
  }

  private <T> CompletableFuture<Result<T>> askOwner(
      StoredOwner owner, AskPeer<T> peer, AskStore<T> fallback, boolean mayBeOld) {
    if (keeper.isOrphan(owner)) {
      keeper.claim(owner);
      return fallback.ask(owner);
    }
    return peer.ask(owner.owner().vm())
        .thenCompose(
            result -> {
              if (!(result instanceof Result.Failure<T> failure) || isFinal(failure)) {
                return CompletableFuture.completedFuture(result);
              }
              logger.atInfo().log(
                  "event=owner_not_reached job=%s owner=%s error=\"%s\"",
                  owner.job(), owner.owner().vm(), failure.error());
              return mayBeOld
                  ? lookUp(owner.job(), peer, fresh -> askFresh(owner, fresh, peer, fallback))
                  : fallback.ask(owner);
            });
  }

  private <T> CompletableFuture<Result<T>> askFresh(
      StoredOwner before, StoredOwner fresh, AskPeer<T> peer, AskStore<T> fallback) {
    boolean hasMoved = !fresh.owner().isHeldBy(before.owner().vm(), before.owner().incarnation());
    return hasMoved ? askOwner(fresh, peer, fallback, false) : fallback.ask(fresh);
  }

  private static boolean isFinal(Result.Failure<?> failure) {
    return failure.error().code() == ResultCode.UNKNOWN_ITEM;
  }
}
