package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.memory.MemoryBudget;
import org.amaranthstream.memory.Reservation;
import org.amaranthstream.result.Result;
import org.amaranthstream.time.TimerService;

/**
 * Loader of jobs that were taken over: reads the job, its results and its saved texts from the
 * store, a few jobs at a time.
 *
 * <p>Used on one thread.
 */
final class JobLoader {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Number of jobs that are loaded at the same time, as each needs memory for what it reads. */
  private static final int MAX_LOADS = 8;

  /** Delay before a failed read is retried. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(400);

  private final JobStore store;
  private final TimerService timers;
  private final InstantSource timeOfDay;
  private final MemoryBudget budget;
  private final ResultCache cache;
  private final Deque<Runnable> waiting = new ArrayDeque<>();
  private int loads;

  JobLoader(
      JobStore store,
      TimerService timers,
      InstantSource timeOfDay,
      MemoryBudget budget,
      ResultCache cache) {
    this.store = store;
    this.timers = timers;
    this.timeOfDay = timeOfDay;
    this.budget = budget;
    this.cache = cache;
  }

  /** Returns a job without results. */
  OwnedJob newJob(JobSpec spec, StoredOwner owner, Reservation memory) {
    long sinceAccepted = Math.max(0, timeOfDay.millis() - owner.owner().acceptedMillis());
    return new OwnedJob(spec, owner, timers.nowNanos(), Duration.ofMillis(sinceAccepted), memory);
  }

  /**
   * Loads a job, with the partial output of its previous owner. Failed reads are retried.
   *
   * @return a future that never completes exceptionally
   */
  CompletableFuture<OwnedJob> load(StoredOwner owner, ImmutableList<PartialOutput> partials) {
    CompletableFuture<OwnedJob> loaded = new CompletableFuture<>();
    enqueue(owner, partials, loaded);
    return loaded;
  }

  private void enqueue(
      StoredOwner owner,
      ImmutableList<PartialOutput> partials,
      CompletableFuture<OwnedJob> loaded) {
    waiting.add(() -> loadNow(owner, partials, loaded));
    startLoads();
  }

  private void startLoads() {
    while (loads < MAX_LOADS && !waiting.isEmpty()) {
      loads++;
      waiting.remove().run();
    }
  }

  private void loadNow(
      StoredOwner owner,
      ImmutableList<PartialOutput> partials,
      CompletableFuture<OwnedJob> loaded) {
    readJob(owner)
        .thenCompose(result -> restoreProgress(result, partials))
        .thenAccept(
            result -> {
              loads--;
              if (result instanceof Result.Success<OwnedJob> success) {
                loaded.complete(success.value());
              } else {
                timers.after(RETRY_DELAY, () -> enqueue(owner, partials, loaded));
              }
              startLoads();
            });
  }

  private CompletableFuture<Result<OwnedJob>> readJob(StoredOwner owner) {
    return store
        .job(owner)
        .thenCompose(
            result ->
                result instanceof Result.Success<JobSpec> spec
                    ? loadResults(owner, spec.value())
                    : CompletableFuture.completedFuture(
                        Result.failure(((Result.Failure<JobSpec>) result).error())));
  }

  private CompletableFuture<Result<OwnedJob>> loadResults(StoredOwner owner, JobSpec spec) {
    Reservation memory = budget.open();
    memory.forceGrow(spec.memoryBytes());
    OwnedJob job = newJob(spec, owner, memory);
    return store
        .visitResults(
            owner.job(),
            page -> {
              cache.put(job.restorePage(page), page);
              return true;
            })
        .thenApply(
            result -> {
              if (result instanceof Result.Failure) {
                job.discard();
              }
              return result.map(unused -> job);
            });
  }

  private CompletableFuture<Result<OwnedJob>> restoreProgress(
      Result<OwnedJob> loaded, ImmutableList<PartialOutput> partials) {
    if (!(loaded instanceof Result.Success<OwnedJob> success)) {
      return CompletableFuture.completedFuture(loaded);
    }
    OwnedJob job = success.value();
    return store
        .progress(job.id())
        .thenApply(
            result -> {
              if (result instanceof Result.Failure) {
                job.discard();
              }
              return result.map(progress -> restore(job, progress, partials));
            });
  }

  private static OwnedJob restore(
      OwnedJob job, JobCheckpoint progress, ImmutableList<PartialOutput> partials) {
    logger.atInfo().log(
        "event=job_loaded job=%s listed=%d saved_texts=%d partials=%d",
        job.id(), job.listedCount(), progress.texts().size(), partials.size());
    job.restoreProgress(progress.plus(partials));
    if (job.isEnded()) {
      job.end();
    }
    return job;
  }
}
