package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
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
 * Answers questions about the jobs that this daemon owns.
 *
 * <p>Used on one thread.
 */
final class JobDesk {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration END_PATIENCE = Duration.ofSeconds(3);
  private static final Duration END_RETRY = Duration.ofMillis(300);

  private final JobStore store;
  private final JobKeeper keeper;
  private final TimerService timers;
  private final Random nonces;

  JobDesk(JobStore store, JobKeeper keeper, TimerService timers, Random nonces) {
    this.store = store;
    this.keeper = keeper;
    this.timers = timers;
    this.nonces = nonces;
  }

  /** Returns results from {@code position} on, waiting at most {@code wait} until there are any. */
  CompletableFuture<Result<ResultSlice>> read(
      OwnedJob job, int position, Duration wait, int maxBytes) {
    boolean canGrow = job.isRunnable() && !job.isWhole();
    if (position < job.listedCount() || !canGrow || wait.isZero()) {
      return CompletableFuture.completedFuture(slice(job, position, maxBytes));
    }
    CompletableFuture<Result<ResultSlice>> reply = new CompletableFuture<>();
    Subscription timeout = timers.after(wait, () -> reply.complete(slice(job, position, maxBytes)));
    job.onChange(
        () -> {
          timeout.cancel();
          reply.complete(slice(job, position, maxBytes));
        });
    return reply;
  }

  private static Result<ResultSlice> slice(OwnedJob job, int position, int maxBytes) {
    if (job.isLost()) {
      return Result.failure(ResultCode.PLATFORM_UNAVAILABLE, "the job has moved");
    }
    ImmutableList<ItemResult> results = job.read(position, maxBytes);
    return Result.success(new ResultSlice(job.spec().items().size(), position, results));
  }

  /** Returns the body of an item. */
  static Result<byte[]> bodyOf(JobSpec spec, ItemId item) {
    Optional<ItemSpec> found =
        spec.items().stream().filter(candidate -> candidate.id().equals(item)).findFirst();
    return found.isPresent()
        ? Result.success(found.get().body())
        : Result.failure(ResultCode.UNKNOWN_ITEM, "job " + spec.id() + " has no item " + item);
  }

  /** Ends a job. */
  CompletableFuture<Result<JobDone>> end(OwnedJob job) {
    boolean wasEnded = job.owner().owner().isEnded();
    job.end();
    if (wasEnded) {
      return CompletableFuture.completedFuture(Result.success(JobDone.ENDED));
    }
    JobOwner ended = job.owner().owner().ended(nonces.nextLong());
    return store
        .replaceOwner(job.owner(), ended, END_PATIENCE)
        .thenApply(reply -> onEnded(job, ended, reply));
  }

  private Result<JobDone> onEnded(OwnedJob job, JobOwner ended, TransactionReply reply) {
    if (reply instanceof TransactionReply.Committed committed) {
      job.setOwner(new StoredOwner(job.id(), ended, committed.revision()));
      logger.atInfo().log(
          "event=job_ended job=%s listed=%d groups_complete=%d",
          job.id(), job.listedCount(), job.completeGroups());
      return Result.success(JobDone.ENDED);
    }
    logger.atWarning().log("event=job_end_failed job=%s reply=\"%s\"", job.id(), reply);
    keeper.resolve(job);
    if (!(reply instanceof TransactionReply.Conflict)) {
      timers.after(END_RETRY, () -> endLater(job));
    }
    return Result.failure(ResultCode.PLATFORM_UNAVAILABLE, "the end could not be recorded");
  }

  /** A caller that was told nothing may come again; the end is recorded all the same. */
  private void endLater(OwnedJob job) {
    if (!job.isLost() && !job.owner().owner().isEnded()) {
      end(job);
    }
  }
}
