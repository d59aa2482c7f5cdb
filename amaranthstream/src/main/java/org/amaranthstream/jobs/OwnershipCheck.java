package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.amaranthstream.fleet.FleetSession;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.result.Result;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Check of the owned jobs against the ownership records in the store.
 *
 * <p>No daemon takes a job over while its owner is registered, because the store verifies that with
 * each takeover ({@link Takeover}). Once the session lease may have ended, as after a suspension of
 * the VM, the owned jobs are therefore used only after one listing of the records has shown that
 * they are still owned. If the store does not answer, the jobs are used all the same, because the
 * end of the lease alone is no loss of a job.
 *
 * <p>Used on one thread.
 */
final class OwnershipCheck {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time for which the use of a job waits for the store. */
  private static final Duration MAX_WAIT = Duration.ofMillis(300);

  /** Interval of the checks while the lease is not valid. */
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(400);

  /** Interval while the store does not answer; the sweep after its return is a check too. */
  private static final Duration UNAVAILABLE_INTERVAL = Duration.ofSeconds(2);

  private final FleetSession session;
  private final JobStore store;
  private final JobRegistry registry;
  private final TimerService timers;
  private final Function<OwnedJob, CompletableFuture<Void>> refresh;
  private Optional<LeaseId> confirmedLease = Optional.empty();
  private @Nullable Check lastCheck;

  /** One comparison of all owned jobs with their records. */
  private final class Check {
    private final Optional<LeaseId> lease = session.validLease();
    private final long startNanos = timers.nowNanos();
    private final CompletableFuture<Void> outcome = new CompletableFuture<>();
    private boolean isConfirmed;

    /** True if the store has not answered in time, to this check or to one of the same lapse. */
    private boolean isUnanswered =
        lastCheck != null && lastCheck.isUnanswered && lastCheck.lease.isEmpty();

    private void onListed(ImmutableList<StoredOwner> owners) {
      ImmutableMap<JobId, StoredOwner> records =
          owners.stream()
              .collect(ImmutableMap.toImmutableMap(StoredOwner::job, owner -> owner, (a, b) -> b));
      CompletableFuture<?>[] refreshed =
          registry.owned().stream()
              .filter(job -> hasChanged(job, records.get(job.id())))
              .map(refresh)
              .toArray(CompletableFuture<?>[]::new);
      CompletableFuture.allOf(refreshed).thenRun(this::confirm);
    }

    private void confirm() {
      isConfirmed = true;
      confirmedLease = lease;
      isUnanswered = false;
      outcome.complete(null);
    }

    private void giveUpWaiting() {
      if (!outcome.isDone()) {
        logger.atWarning().log("event=ownership_unconfirmed jobs=%d", registry.owned().size());
        isUnanswered = true;
        outcome.complete(null);
      }
    }

    private boolean isRecent() {
      Duration interval = isUnanswered ? UNAVAILABLE_INTERVAL : CHECK_INTERVAL;
      return timers.nowNanos() - startNanos < interval.toNanos();
    }

    private boolean confirmsNow() {
      return isConfirmed && isRecent() && !isOutdated();
    }

    /** Returns true if the lease has changed or lapsed since, so that the check says nothing. */
    private boolean isOutdated() {
      return lease.isPresent() && !lease.equals(session.validLease());
    }
  }

  /**
   * Creates a check.
   *
   * @param refresh reads the record of an owned job again and releases the job if it is lost
   */
  OwnershipCheck(
      FleetSession session,
      JobStore store,
      JobRegistry registry,
      TimerService timers,
      Function<OwnedJob, CompletableFuture<Void>> refresh) {
    this.session = session;
    this.store = store;
    this.registry = registry;
    this.timers = timers;
    this.refresh = refresh;
  }

  /** Lists the ownership records of all jobs and compares the owned jobs with them. */
  CompletableFuture<Result<ImmutableList<StoredOwner>>> listOwners() {
    Check check = new Check();
    lastCheck = check;
    timers.after(MAX_WAIT, check::giveUpWaiting);
    return store
        .owners()
        .thenApply(
            result -> {
              if (result instanceof Result.Success<ImmutableList<StoredOwner>> success) {
                check.onListed(success.value());
              } else {
                check.giveUpWaiting();
              }
              return result;
            });
  }

  /** Returns true if the record of an owned job may be newer than what this daemon knows. */
  private static boolean hasChanged(OwnedJob job, @Nullable StoredOwner record) {
    return record == null || !record.revision().equals(job.owner().revision());
  }

  /** Returns the job if this daemon owns it, once that is confirmed or the store is unavailable. */
  CompletableFuture<Optional<OwnedJob>> owned(JobId job) {
    if (registry.owned(job).isEmpty() || mayUseJobs()) {
      return CompletableFuture.completedFuture(registry.owned(job));
    }
    return lastCheck.outcome.thenApply(unused -> registry.owned(job));
  }

  /**
   * Requires a check before the next use, because a job was added whose record another daemon may
   * have changed before the last check.
   */
  void invalidate() {
    confirmedLease = Optional.empty();
    if (lastCheck != null && lastCheck.isConfirmed) {
      lastCheck = null;
    }
  }

  /** Returns true if the owned jobs may be used now; otherwise starts a check. */
  boolean mayUseJobs() {
    if (isConfirmed()) {
      return true;
    }
    if (lastCheck == null || !lastCheck.isRecent() || lastCheck.isOutdated()) {
      listOwners();
    }
    return lastCheck.isUnanswered;
  }

  private boolean isConfirmed() {
    Optional<LeaseId> lease = session.validLease();
    boolean isLeaseConfirmed = lease.isPresent() && lease.equals(confirmedLease);
    return isLeaseConfirmed || (lastCheck != null && lastCheck.confirmsNow());
  }
}
