package org.amaranthstream.jobs;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/**
 * Access to jobs in the store, for calls whose owner cannot be reached.
 *
 * <p>Used on one thread.
 */
final class StoredJobs {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Delay before results are read from the store again for a caller that waits. */
  private static final Duration REREAD_DELAY = Duration.ofMillis(500);

  private static final Duration END_TIMEOUT = Duration.ofSeconds(3);

  private final JobStore store;
  private final JobRegistry registry;
  private final TimerService timers;
  private final Random nonces;
  private final int maxReadBytes;

  StoredJobs(
      JobStore store, JobRegistry registry, TimerService timers, Random nonces, int maxReadBytes) {
    this.store = store;
    this.registry = registry;
    this.timers = timers;
    this.nonces = nonces;
    this.maxReadBytes = maxReadBytes;
  }

  /** Reads results from {@code position} on. Waits at most {@code wait} for the first of them. */
  CompletableFuture<Result<ResultSlice>> read(StoredOwner owner, int position, Duration wait) {
    PageCollector collector = new PageCollector(position, maxReadBytes);
    return store
        .visitResults(owner.job(), collector)
        .thenCompose(
            result -> {
              if (result instanceof Result.Failure<JobId> failure) {
                return OwnerRouter.failed(failure.error().code(), failure.error().message());
              }
              int total = owner.owner().items();
              boolean canGrow = collector.visited() < total && !owner.owner().isEnded();
              if (collector.results().isEmpty() && canGrow && !wait.isZero()) {
                return readLater(owner, position);
              }
              return CompletableFuture.completedFuture(
                  Result.success(new ResultSlice(total, position, collector.results())));
            });
  }

  private CompletableFuture<Result<ResultSlice>> readLater(StoredOwner owner, int position) {
    CompletableFuture<Result<ResultSlice>> reply = new CompletableFuture<>();
    timers.after(
        REREAD_DELAY, () -> read(owner, position, Duration.ZERO).thenAccept(reply::complete));
    return reply;
  }

  /** Ends a job in the store, and notifies its owner. */
  CompletableFuture<Result<JobAcknowledgement>> end(StoredOwner owner) {
    if (owner.owner().isEnded()) {
      return CompletableFuture.completedFuture(Result.success(JobAcknowledgement.ENDED));
    }
    JobOwner ended = owner.owner().ended(nonces.nextLong());
    return store
        .endWithNotice(owner, ended, END_TIMEOUT)
        .thenCompose(
            reply -> {
              if (reply instanceof TransactionReply.Committed committed) {
                logger.atInfo().log("event=job_ended_for_owner job=%s", owner.job());
                registry.cacheOwner(new StoredOwner(owner.job(), ended, committed.revision()));
                return CompletableFuture.completedFuture(Result.success(JobAcknowledgement.ENDED));
              }
              registry.evictOwner(owner.job());
              return OwnerRouter.failed(
                  ResultCode.PLATFORM_UNAVAILABLE,
                  "the end of the job could not be stored: " + reply);
            });
  }
}
