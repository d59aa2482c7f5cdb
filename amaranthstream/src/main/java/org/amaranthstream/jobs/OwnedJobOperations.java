package org.amaranthstream.jobs;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.Subscription;
import org.amaranthstream.time.TimerService;

/**
 * Operations that callers request on jobs which this daemon owns.
 *
 * <p>Used on one thread.
 */
final class OwnedJobOperations {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration END_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration END_RETRY_DELAY = Duration.ofMillis(300);

  private final JobStore store;
  private final ResultReader results;
  private final JobOwnershipManager ownership;
  private final TimerService timers;
  private final Random nonces;

  OwnedJobOperations(
      JobStore store,
      ResultReader results,
      JobOwnershipManager ownership,
      TimerService timers,
      Random nonces) {
    this.store = store;
    this.results = results;
    this.ownership = ownership;
    this.timers = timers;
    this.nonces = nonces;
  }

  /** Returns results from {@code position} on. Waits at most {@code wait} for the first of them. */
  CompletableFuture<Result<ResultSlice>> read(
      OwnedJob job, int position, Duration wait, int maxBytes) {
    boolean canGrow = job.isRunnable() && !job.isFullyListed();
    if (position < job.listedCount() || !canGrow || wait.isZero()) {
      return slice(job, position, maxBytes);
    }
    CompletableFuture<Void> changed = new CompletableFuture<>();
    Subscription timeout = timers.after(wait, () -> changed.complete(null));
    job.onChange(
        () -> {
          timeout.cancel();
          changed.complete(null);
        });
    return changed.thenCompose(unused -> slice(job, position, maxBytes));
  }

  private CompletableFuture<Result<ResultSlice>> slice(OwnedJob job, int position, int maxBytes) {
    if (job.isOwnershipLost()) {
      return CompletableFuture.completedFuture(
          Result.failure(ResultCode.PLATFORM_UNAVAILABLE, "another daemon has taken over the job"));
    }
    return results
        .read(job, position, maxBytes)
        .thenApply(read -> read.map(page -> new ResultSlice(job.itemCount(), position, page)));
  }

  /** Returns the request body of an item, from the store once the job has given up its items. */
  CompletableFuture<Result<byte[]>> body(OwnedJob job, ItemId item) {
    return job.spec().items().isEmpty()
        ? store.job(job.owner()).thenApply(read -> read.flatMap(spec -> bodyOf(spec, item)))
        : CompletableFuture.completedFuture(bodyOf(job.spec(), item));
  }

  /** Returns the request body of an item. */
  static Result<byte[]> bodyOf(JobSpec spec, ItemId item) {
    Optional<ItemSpec> found =
        spec.items().stream().filter(candidate -> candidate.id().equals(item)).findFirst();
    return found.isPresent()
        ? Result.success(found.get().body())
        : Result.failure(
            ResultCode.UNKNOWN_ITEM, "job " + spec.id().value() + " has no item " + item);
  }

  /** Ends a job at once and records the end in the store. */
  CompletableFuture<Result<JobAcknowledgement>> end(OwnedJob job) {
    boolean wasEnded = job.owner().owner().isEnded();
    job.end();
    if (wasEnded) {
      return CompletableFuture.completedFuture(Result.success(JobAcknowledgement.ENDED));
    }
    JobOwner ended = job.owner().owner().ended(nonces.nextLong());
    return store
        .replaceOwner(job.owner(), ended, END_TIMEOUT)
        .thenApply(reply -> onEnded(job, ended, reply));
  }

  private Result<JobAcknowledgement> onEnded(OwnedJob job, JobOwner ended, TransactionReply reply) {
    if (reply instanceof TransactionReply.Committed committed) {
      job.setOwner(new StoredOwner(job.id(), ended, committed.revision()));
      logger.atInfo().log(
          "event=job_ended job=%s listed=%d groups_complete=%d",
          job.id(), job.listedCount(), job.completeGroups());
      return Result.success(JobAcknowledgement.ENDED);
    }
    logger.atWarning().log("event=job_end_failed job=%s reply=\"%s\"", job.id(), reply);
    ownership.refreshOwner(job);
    if (!(reply instanceof TransactionReply.Conflict)) {
      timers.after(END_RETRY_DELAY, () -> retryEnd(job));
    }
    return Result.failure(
        ResultCode.PLATFORM_UNAVAILABLE, "the end of the job could not be stored");
  }

  /**
   * Retries the write of an end. The caller has received a failure and may repeat its request, but
   * the end is stored even if it does not.
   */
  private void retryEnd(OwnedJob job) {
    if (!job.isOwnershipLost() && !job.owner().owner().isEnded()) {
      end(job);
    }
  }
}
