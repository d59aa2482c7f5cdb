package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.amaranthstream.fleet.AbsenceCondition;
import org.amaranthstream.fleet.Fleet;
import org.amaranthstream.fleet.FleetListener;
import org.amaranthstream.fleet.FleetNode;
import org.amaranthstream.fleet.FleetSession;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.memory.MemoryBudget;
import org.amaranthstream.memory.Reservation;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.result.Result;
import org.amaranthstream.time.TimerService;

/**
 * Manager of job ownership. Takes over the jobs of daemons that have crashed or left, and releases
 * jobs that a peer has taken over.
 *
 * <p>Used on one thread.
 */
final class JobOwnershipManager implements FleetListener, OrphanSweeper.Orphans {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time for which this daemon keeps a job at least after it has become its owner. */
  private static final Duration RETENTION = Duration.ofSeconds(150);

  private static final Duration RECLAIM_TIMEOUT = Duration.ofSeconds(1);

  /** Delay before a failed read or takeover is retried. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(400);

  private final FleetSession session;
  private final FleetNode self;
  private final Fleet fleet;
  private final JobStore store;
  private final JobRegistry registry;
  private final TimerService timers;
  private final InstantSource timeOfDay;
  private final Random nonces;
  private final OwnershipCheck check;
  private final OrphanSweeper sweeper;
  private final ResultCache cache;
  private final JobLoader loader;
  private final Set<JobId> takeoversInProgress = new HashSet<>();

  /** Jobs whose end was recorded while they were still being taken over. */
  private final Set<JobId> pendingEnds = new HashSet<>();

  private Starter starter = job -> {};

  /** Callback that starts a job which this daemon has begun to own. */
  @FunctionalInterface
  interface Starter {
    void start(OwnedJob job);
  }

  JobOwnershipManager(
      FleetSession session,
      Fleet fleet,
      JobStore store,
      JobRegistry registry,
      TimerService timers,
      InstantSource timeOfDay,
      Random nonces,
      MemoryBudget budget,
      ResultCache cache) {
    this.session = session;
    this.self = session.self();
    this.fleet = fleet;
    this.store = store;
    this.registry = registry;
    this.timers = timers;
    this.timeOfDay = timeOfDay;
    this.nonces = nonces;
    this.cache = cache;
    this.loader = new JobLoader(store, timers, timeOfDay, budget, cache);
    this.check = new OwnershipCheck(session, store, registry, timers, this::refreshOwner);
    this.sweeper = new OrphanSweeper(fleet, self, registry, timers, check, this);
  }

  void start(Starter starter) {
    this.starter = starter;
    fleet.addListener(this);
    sweeper.start();
  }

  /** Returns the sweeper for orphaned jobs. */
  OrphanSweeper sweeper() {
    return sweeper;
  }

  FleetNode self() {
    return self;
  }

  /** Returns the session lease while it is guaranteed to be valid, empty otherwise. */
  Optional<LeaseId> validLease() {
    return session.validLease();
  }

  /** Returns the check of the owned jobs, which precedes each use of one. */
  OwnershipCheck check() {
    return check;
  }

  /** Returns the daemon that should accept a job in place of this one, empty if there is none. */
  Optional<EntryVmId> preferredOwner(JobSpec spec) {
    return PreferredJobOwner.of(spec, self, fleet.nodes());
  }

  /** Returns the ownership record of a job that this daemon accepts now. */
  JobOwner newOwner(JobSpec spec, RecordParts record) {
    return new JobOwner(
        self.vm(),
        self.incarnation(),
        1,
        false,
        timeOfDay.millis(),
        spec.items().size(),
        record.count(),
        nonces.nextLong());
  }

  /**
   * Registers and starts a new job once the store has acknowledged this daemon's ownership.
   *
   * @param leaseAtStart the session lease that was valid before the ownership was written
   * @param memory the memory of the job
   */
  void registerAndStart(
      JobSpec spec, StoredOwner owner, Optional<LeaseId> leaseAtStart, Reservation memory) {
    registerAndStart(loader.newJob(spec, owner, memory), leaseAtStart);
  }

  /** Starts a job. If the lease may have ended since the start, a peer may own the job by now. */
  private void registerAndStart(OwnedJob job, Optional<LeaseId> leaseAtStart) {
    registry.add(job);
    if (leaseAtStart.isEmpty() || !leaseAtStart.equals(session.validLease())) {
      check.invalidate();
    }
    if (pendingEnds.remove(job.id())) {
      onEndNotice(job);
    }
    timers.after(RETENTION, () -> expire(job));
    starter.start(job);
  }

  /** Removes a job after its retention; an open job is kept for as long again. */
  private void expire(OwnedJob job) {
    if (job.isOwnershipLost()) {
      return;
    }
    if (job.isEnded()) {
      forget(job);
      store.remove(job.owner());
    } else {
      timers.after(RETENTION, () -> expire(job));
    }
  }

  /**
   * Ends an owned job that a peer has ended in the store. If the job is still being taken over, the
   * end is applied once this daemon owns it.
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

  /**
   * Returns true if the daemon that the record names as the owner no longer runs the job. A view of
   * the fleet that is older than the record may lack a daemon that has registered since, and proves
   * nothing; the loss of an owner is always newer than its record.
   */
  @Override
  public boolean isOrphan(StoredOwner owner) {
    JobOwner record = owner.owner();
    if (record.isHeldBy(self.vm(), self.incarnation())) {
      return registry.owned(owner.job()).isEmpty() && !takeoversInProgress.contains(owner.job());
    }
    boolean isViewOlder = owner.revision().isAfter(fleet.revision());
    return !isViewOlder && !fleet.isRegistered(record.vm(), record.incarnation());
  }

  /** Takes over an orphaned job, unless its owner is registered when the write takes effect. */
  @Override
  public void takeOver(StoredOwner orphan) {
    runTakeover(orphan, absenceOf(orphan.owner()), ImmutableList.of());
  }

  /**
   * Returns the condition on the owner of an orphaned job. There is none for an earlier incarnation
   * of this daemon, which this process has replaced, nor for a job that this one does not run yet.
   */
  private Optional<AbsenceCondition> absenceOf(JobOwner owner) {
    return owner.vm().equals(self.vm())
        ? Optional.empty()
        : Optional.of(fleet.absenceOf(owner.vm(), owner.incarnation()));
  }

  /**
   * Takes over a job that its owner hands off, with its partial output.
   *
   * @return a future that never completes exceptionally
   */
  CompletableFuture<TakeoverOutcome> acceptHandoff(
      StoredOwner before, ImmutableList<PartialOutput> partials) {
    return runTakeover(before, Optional.empty(), partials);
  }

  private CompletableFuture<TakeoverOutcome> runTakeover(
      StoredOwner before,
      Optional<AbsenceCondition> absence,
      ImmutableList<PartialOutput> partials) {
    JobId job = before.job();
    if (registry.owned(job).isPresent() || !takeoversInProgress.add(job)) {
      return CompletableFuture.completedFuture(TakeoverOutcome.NOT_TAKEN);
    }
    Optional<LeaseId> lease = session.validLease();
    return new Takeover(store, timers, self, nonces.nextLong())
        .run(before, absence)
        .thenApply(reply -> onTakeoverReply(job, reply, lease, partials));
  }

  private TakeoverOutcome onTakeoverReply(
      JobId job,
      TakeoverReply reply,
      Optional<LeaseId> leaseAtStart,
      ImmutableList<PartialOutput> partials) {
    if (reply instanceof TakeoverReply.Taken taken) {
      logger.atInfo().log(
          "event=job_taken_over job=%s epoch=%d partials=%d revision=%s",
          job, taken.owner().owner().epoch(), partials.size(), taken.owner().revision());
      loader.load(taken.owner(), partials).thenAccept(loaded -> onLoaded(loaded, leaseAtStart));
      return TakeoverOutcome.TAKEN;
    }
    takeoversInProgress.remove(job);
    logger.atInfo().log("event=job_not_taken_over job=%s reply=\"%s\"", job, reply);
    return onNotTaken(reply);
  }

  private TakeoverOutcome onNotTaken(TakeoverReply reply) {
    if (reply instanceof TakeoverReply.OwnerRegistered registered) {
      registry.cacheOwner(registered.owner());
      fleet.refresh();
    } else if (reply instanceof TakeoverReply.Lost lost) {
      lost.current().forEach(registry::cacheOwner);
    } else {
      timers.after(RETRY_DELAY, sweeper::schedule);
    }
    return reply instanceof TakeoverReply.Unknown
        ? TakeoverOutcome.UNKNOWN
        : TakeoverOutcome.NOT_TAKEN;
  }

  private void onLoaded(OwnedJob job, Optional<LeaseId> leaseAtStart) {
    takeoversInProgress.remove(job.id());
    registerAndStart(job, leaseAtStart);
  }

  /** Reads from the store, retrying after each failure, and passes the value to {@code next}. */
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

  /**
   * Reads the ownership record of an owned job again after another daemon may have changed it.
   *
   * @return completes once the record was read, and the job released if it is lost
   */
  CompletableFuture<Void> refreshOwner(OwnedJob job) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    readWithRetry(
        () -> store.owner(job.id()),
        current -> {
          onOwnerRead(job, current);
          done.complete(null);
        });
    return done;
  }

  private void onOwnerRead(OwnedJob job, Optional<StoredOwner> current) {
    if (job.isOwnershipLost()) {
      return;
    }
    boolean isStillOwner =
        current.isPresent() && current.get().owner().isHeldBy(self.vm(), self.incarnation());
    if (isStillOwner) {
      if (current.get().revision().isAfter(job.owner().revision())) {
        job.setOwner(current.get());
      }
      if (job.isEnded()) {
        job.end();
      }
      return;
    }
    logger.atWarning().log("event=job_lost job=%s owner=%s", job.id(), current);
    release(job);
    current.ifPresent(registry::cacheOwner);
  }

  /**
   * Decides a takeover whose outcome is unknown: writes the ownership record anew, so that a
   * takeover which has not taken effect yet never does.
   *
   * @return completes once the job is confirmed, or released because it is lost
   */
  CompletableFuture<Void> reclaim(OwnedJob job) {
    JobOwner renewed = job.owner().owner().renewed(nonces.nextLong());
    return store
        .replaceOwner(job.owner(), renewed, RECLAIM_TIMEOUT)
        .thenCompose(reply -> onReclaimed(job, renewed, reply));
  }

  /** A write that was not confirmed decides nothing: the takeover may still take effect. */
  private CompletableFuture<Void> onReclaimed(
      OwnedJob job, JobOwner renewed, TransactionReply reply) {
    if (reply instanceof TransactionReply.Committed committed) {
      job.setOwner(new StoredOwner(job.id(), renewed, committed.revision()));
      return CompletableFuture.completedFuture(null);
    }
    boolean isDecided = reply instanceof TransactionReply.Conflict;
    return refreshOwner(job)
        .thenCompose(
            unused ->
                isDecided || job.isOwnershipLost()
                    ? CompletableFuture.completedFuture(null)
                    : reclaim(job));
  }

  /** Releases a job that another daemon now owns. */
  void release(OwnedJob job) {
    job.loseOwnership();
    forget(job);
  }

  private void forget(OwnedJob job) {
    registry.remove(job.id());
    job.listed().pages().forEach(cache::remove);
    job.discard();
  }
}
