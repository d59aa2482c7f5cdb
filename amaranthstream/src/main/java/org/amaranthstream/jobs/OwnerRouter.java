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
 * Router of calls about jobs that this daemon does not own.
 *
 * <p>A call goes to the owner of the job. If the owner cannot be reached, the call is served from
 * the store. While the store cannot name the owner, the call goes to all peers, because one of them
 * may be the owner. An orphaned job is taken over. Used on one thread.
 */
final class OwnerRouter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final JobStore store;
  private final JobRegistry registry;
  private final JobOwnershipManager ownership;
  private final RemoteJobs remote;

  OwnerRouter(
      JobStore store, JobRegistry registry, JobOwnershipManager ownership, RemoteJobs remote) {
    this.store = store;
    this.registry = registry;
    this.ownership = ownership;
    this.remote = remote;
  }

  /** Call to a daemon that may own the job. */
  @FunctionalInterface
  interface PeerCall<T> {
    CompletableFuture<Result<T>> call(EntryVmId vm);
  }

  /** Call that is served from the store in place of the owner. */
  @FunctionalInterface
  interface StoreFallback<T> {
    CompletableFuture<Result<T>> call(StoredOwner owner);
  }

  /** Returns whether there is such a job; fails if neither this daemon nor the store knows. */
  CompletableFuture<Result<Boolean>> exists(JobId job) {
    if (registry.owned(job).isPresent() || registry.cachedOwner(job).isPresent()) {
      return CompletableFuture.completedFuture(Result.success(true));
    }
    return store
        .owner(job)
        .thenApply(
            result ->
                result.map(
                    owner -> {
                      owner.ifPresent(registry::cacheOwner);
                      return owner.isPresent();
                    }));
  }

  /** Calls the owner of {@code job}, or the fallback if the owner cannot be reached. */
  <T> CompletableFuture<Result<T>> route(JobId job, PeerCall<T> peer, StoreFallback<T> fallback) {
    Optional<StoredOwner> known = registry.cachedOwner(job);
    if (known.isPresent()) {
      return callOwner(known.get(), peer, fallback, true);
    }
    return lookUp(job, peer, owner -> callOwner(owner, peer, fallback, false));
  }

  private <T> CompletableFuture<Result<T>> lookUp(
      JobId job, PeerCall<T> peer, StoreFallback<T> next) {
    return store
        .owner(job)
        .thenCompose(
            result -> {
              if (result instanceof Result.Failure<Optional<StoredOwner>> failure) {
                return callAllPeers(peer, failure.error());
              }
              Optional<StoredOwner> owner =
                  ((Result.Success<Optional<StoredOwner>>) result).value();
              if (owner.isEmpty()) {
                return failed(ResultCode.UNKNOWN_JOB, "there is no job " + job.value());
              }
              registry.cacheOwner(owner.get());
              return next.call(owner.get());
            });
  }

  /** Calls all peers, because the store is unavailable and one of them may be the owner. */
  private <T> CompletableFuture<Result<T>> callAllPeers(PeerCall<T> peer, ErrorDetail storeError) {
    List<CompletableFuture<Result<T>>> replies = new ArrayList<>();
    remote.peers().forEach(vm -> replies.add(peer.call(vm)));
    return FirstSuccess.of(replies)
        .thenApply(
            result -> result instanceof Result.Success ? result : Result.failure(storeError));
  }

  static <T> CompletableFuture<Result<T>> failed(ResultCode code, String message) {
    return CompletableFuture.completedFuture(Result.failure(code, message));
  }

  private <T> CompletableFuture<Result<T>> callOwner(
      StoredOwner owner, PeerCall<T> peer, StoreFallback<T> fallback, boolean mayBeStale) {
    if (ownership.isOrphan(owner)) {
      ownership.takeOver(owner);
      return fallback.call(owner);
    }
    return peer.call(owner.owner().vm())
        .thenCompose(
            result -> {
              if (!(result instanceof Result.Failure<T> failure) || isFinal(failure)) {
                return CompletableFuture.completedFuture(result);
              }
              logger.atInfo().log(
                  "event=owner_not_reached job=%s owner=%s error=\"%s\"",
                  owner.job(), owner.owner().vm(), failure.error());
              return mayBeStale
                  ? lookUp(
                      owner.job(),
                      peer,
                      current -> callCurrentOwner(owner, current, peer, fallback))
                  : fallback.call(owner);
            });
  }

  private <T> CompletableFuture<Result<T>> callCurrentOwner(
      StoredOwner before, StoredOwner current, PeerCall<T> peer, StoreFallback<T> fallback) {
    boolean hasChanged =
        !current.owner().isHeldBy(before.owner().vm(), before.owner().incarnation());
    return hasChanged ? callOwner(current, peer, fallback, false) : fallback.call(current);
  }

  private static boolean isFinal(Result.Failure<?> failure) {
    return failure.error().code() == ResultCode.UNKNOWN_ITEM;
  }
}
