package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.amaranthstream.fleet.Fleet;
import org.amaranthstream.fleet.FleetListener;
import org.amaranthstream.fleet.FleetNode;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.membership.RendezvousHash;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.result.Result;
import org.amaranthstream.time.TimerService;

/**
 * Keeps each job owned by a daemon that lives: takes over the jobs of daemons that are gone, and
 * lets go of jobs that others have taken.
 *
 * <p>Used on one thread.
 */
final class JobOwnershipManager implements FleetListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The time for which a job is kept after its submission. */
  private static final Duration RETENTION = Duration.ofSeconds(150);

  /** The time that the daemon with the first claim on a job has before the next one tries. */
  private static final Duration TAKEOVER_STAGGER = Duration.ofMillis(1_500);

  /** Jobs that have ended are taken over only to be removed in time, unless a caller asks. */
  private static final Duration ENDED_JOB_TAKEOVER_DELAY = Duration.ofSeconds(20);

  /** Daemons that try to take a job over when its owner is lost. */
  private static final int MAX_TAKEOVER_CANDIDATES = 2;

  private static final Duration TAKEOVER_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration RETRY_DELAY = Duration.ofMillis(400);
  private static final Duration SWEEP_DELAY = Duration.ofMillis(150);

  private final FleetNode self;
  private final Fleet fleet;
  private final JobStore store;
  private final JobRegistry registry;
  private final TimerService timers;
  private final InstantSource timeOfDay;
  private final Random nonces;
  private final Set<JobId> takeoversInProgress = new HashSet<>();
  private final Set<JobId> pendingEnds = new HashSet<>();
  private Starter starter = job -> {};
  private boolean isSweepScheduled;

  /** Starts a job that is now owned here. */
  @FunctionalInterface
  interface Starter {
    void start(OwnedJob job);
  }

  JobOwnershipManager(
      FleetNode self,
      Fleet fleet,
      JobStore store,
      JobRegistry registry,
      TimerService timers,
      InstantSource timeOfDay,
      Random nonces) {
    this.self = self;
    this.fleet = fleet;
    this.store = store;
    this.registry = registry;
    this.timers = timers;
    this.timeOfDay = timeOfDay;
    this.nonces = nonces;
  }

  void start(Starter starter) {
    this.starter = starter;
    fleet.listen(this);
  }

  FleetNode self() {
    return self;
  }

  /** Returns the record of a job that is accepted here and now. */
  JobOwner newOwner(JobSpec spec, byte[] record) {
    return new JobOwner(
        self.vm(),
        self.incarnation(),
        1,
        false,
        timeOfDay.millis(),
        spec.items().size(),
        JobStore.partCount(record),
        nonces.nextLong());
  }

  /** Takes a job that the store has just acknowledged as owned here. */
  OwnedJob registerAndStart(
      JobSpec spec, StoredOwner owner, ImmutableList<ItemResult> results, SavedProgress progress) {
    long sinceAccepted = Math.max(0, timeOfDay.millis() - owner.owner().acceptedMillis());
    OwnedJob job = new OwnedJob(spec, owner, timers.nowNanos(), Duration.ofMillis(sinceAccepted));
    job.restoreResults(results);
    job.restoreProgress(progress);
    registry.add(job);
    if (pendingEnds.remove(job.id())) {
      onEndNotice(job);
    }
    timers.after(RETENTION, () -> expire(job));
    starter.start(job);
    return job;
  }

  private void expire(OwnedJob job) {
    if (!job.isOwnershipLost()) {
      registry.remove(job.id());
      store.remove(job.owner());
    }
  }

  @Override
  public void onNodeLost(FleetNode node) {
    scheduleOrphanSweep();
  }

  @Override
  public void onCaughtUp() {
    scheduleOrphanSweep();
  }

  /**
   * The owner of a job did not hear of the job's end itself. A job that is just being taken over is
   * not owned yet; its end is kept for the moment when it is.
   */
  @Override
  public void onJobEnded(JobId job) {
    registry.owned(job).ifPresentOrElse(this::onEndNotice, () -> pendingEnds.add(job));
  }

  private void onEndNotice(OwnedJob job) {
    logger.atInfo().log("event=job_end_noticed job=%s", job.id());
    job.end();
    store.removeNotice(job.id());
    refreshOwner(job);
  }

  /** Looks for jobs without a living owner, once for losses that come together. */
  void scheduleOrphanSweep() {
    if (!isSweepScheduled) {
      isSweepScheduled = true;
      timers.after(SWEEP_DELAY, this::sweep);
    }
  }

  private void sweep() {
    isSweepScheduled = false;
    store.owners().thenAccept(this::onOwners);
  }

  private void onOwners(Result<ImmutableList<StoredOwner>> result) {
    if (result instanceof Result.Success<ImmutableList<StoredOwner>> success) {
      success.value().stream().filter(this::isOrphan).forEach(this::takeOverInTurn);
    } else {
      timers.after(RETRY_DELAY, this::scheduleOrphanSweep);
    }
  }

  /** Returns true if no living daemon owns the job. */
  boolean isOrphan(StoredOwner owner) {
    JobOwner record = owner.owner();
    if (record.isHeldBy(self.vm(), self.incarnation())) {
      return registry.owned(owner.job()).isEmpty() && !takeoversInProgress.contains(owner.job());
    }
    return !fleet.isAlive(record.vm(), record.incarnation());
  }

  private void takeOverInTurn(StoredOwner orphan) {
    boolean wasOwnedHere = orphan.owner().vm().equals(self.vm());
    int rank = wasOwnedHere ? 0 : rank(orphan.job());
    if (rank < MAX_TAKEOVER_CANDIDATES) {
      Duration first = orphan.owner().isEnded() ? ENDED_JOB_TAKEOVER_DELAY : Duration.ZERO;
      timers.after(first.plus(TAKEOVER_STAGGER.multipliedBy(rank)), () -> takeOverIfOrphan(orphan));
    }
  }

  private int rank(JobId job) {
    List<EntryVmId> alive = fleet.nodes().stream().map(FleetNode::vm).sorted().toList();
    int rank = RendezvousHash.order(job.value(), alive).indexOf(self.vm());
    return rank < 0 ? MAX_TAKEOVER_CANDIDATES : rank;
  }

  private void takeOverIfOrphan(StoredOwner orphan) {
    boolean isKnownTakenOver =
        registry
            .cachedOwner(orphan.job())
            .filter(o -> o.revision().isAfter(orphan.revision()))
            .isPresent();
    if (!isKnownTakenOver && isOrphan(orphan)) {
      takeOver(orphan);
    }
  }

  /** Takes a job over from an owner that is gone. */
  void takeOver(StoredOwner orphan) {
    takeOver(orphan, ImmutableList.of());
  }

  /**
   * Takes a job over with what its owner had of its open items.
   *
   * @return whether the job is owned here now
   */
  CompletableFuture<Boolean> takeOver(StoredOwner before, ImmutableList<ItemPartial> partials) {
    JobId job = before.job();
    if (registry.owned(job).isPresent() || !takeoversInProgress.add(job)) {
      return CompletableFuture.completedFuture(false);
    }
    JobOwner next = before.owner().takenOverBy(self.vm(), self.incarnation(), nonces.nextLong());
    return store
        .replaceOwner(before, next, TAKEOVER_TIMEOUT)
        .thenApply(reply -> onTakeoverReply(job, next, reply, partials));
  }

  private boolean onTakeoverReply(
      JobId job, JobOwner next, TransactionReply reply, ImmutableList<ItemPartial> partials) {
    if (reply instanceof TransactionReply.Committed committed) {
      logger.atInfo().log(
          "event=job_taken_over job=%s epoch=%d partials=%d revision=%s",
          job, next.epoch(), partials.size(), committed.revision());
      load(new StoredOwner(job, next, committed.revision()), partials);
      return true;
    }
    takeoversInProgress.remove(job);
    logger.atInfo().log("event=job_not_taken_over job=%s reply=\"%s\"", job, reply);
    if (reply instanceof TransactionReply.Conflict conflict) {
      conflict.current().stream()
          .flatMap(entry -> JobStore.storedOwner(entry).stream())
          .forEach(registry::cacheOwner);
    } else {
      timers.after(RETRY_DELAY, this::scheduleOrphanSweep);
    }
    return false;
  }

  private void load(StoredOwner owner, ImmutableList<ItemPartial> partials) {
    readWithRetry(() -> store.job(owner), spec -> loadResults(owner, spec, partials));
  }

  private void loadResults(StoredOwner owner, JobSpec spec, ImmutableList<ItemPartial> partials) {
    readWithRetry(
        () -> store.results(owner.job()), results -> loadProgress(owner, spec, results, partials));
  }

  private void loadProgress(
      StoredOwner owner,
      JobSpec spec,
      ImmutableList<ItemResult> results,
      ImmutableList<ItemPartial> partials) {
    readWithRetry(
        () -> store.progress(owner.job()),
        progress -> {
          takeoversInProgress.remove(owner.job());
          logger.atInfo().log(
              "event=job_loaded job=%s listed=%d saved_texts=%d partials=%d",
              owner.job(), results.size(), progress.texts().size(), partials.size());
          registerAndStart(spec, owner, results, progress.plus(partials));
        });
  }

  /** Reads from the store, again after each failure, and goes on with what was read. */
  private <T> void readWithRetry(Supplier<CompletableFuture<Result<T>>> read, Consumer<T> next) {
    read.get()
        .thenAccept(
            result -> {
              if (result instanceof Result.Success<T> success) {
                next.accept(success.value());
              } else {
                timers.after(RETRY_DELAY, () -> readWithRetry(read, next));
              }
            });
  }

  /** Finds out what became of an owned job whose record was changed by somebody else. */
  void refreshOwner(OwnedJob job) {
    store.owner(job.id()).thenAccept(result -> onOwnerRead(job, result));
  }

  private void onOwnerRead(OwnedJob job, Result<Optional<StoredOwner>> result) {
    if (result instanceof Result.Failure<Optional<StoredOwner>>) {
      timers.after(RETRY_DELAY, () -> refreshOwner(job));
      return;
    }
    Optional<StoredOwner> now = ((Result.Success<Optional<StoredOwner>>) result).value();
    boolean isStillOwner =
        now.isPresent() && now.get().owner().isHeldBy(self.vm(), self.incarnation());
    if (isStillOwner) {
      job.setOwner(now.get());
      if (job.isEnded()) {
        job.end();
      }
      return;
    }
    logger.atWarning().log("event=job_lost job=%s owner=%s", job.id(), now);
    release(job);
    now.ifPresent(registry::cacheOwner);
  }

  /** Another daemon owns the job now. */
  void release(OwnedJob job) {
    job.loseOwnership();
    registry.remove(job.id());
  }
}
