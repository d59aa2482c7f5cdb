package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.fleet.AbsenceCondition;
import org.amaranthstream.fleet.FleetNode;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.time.TimerService;

/**
 * The write that makes this daemon the owner of a job.
 *
 * <p>The takeover of an orphaned job is conditional on the absence of its owner. The decision to
 * take a job over rests on a view of the fleet, which may be old, and the write may take effect
 * seconds later; the condition holds the store to the state in which the decision is right. A
 * daemon that finds itself registered as the owner therefore keeps its jobs for as long as its
 * session lease. If the condition fails although the owner is absent, as when its VM has restarted
 * meanwhile, the write is repeated with the condition for the new state.
 *
 * <p>Used on one thread.
 */
final class Takeover {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final Duration RETRY_DELAY = Duration.ofMillis(100);

  private final JobStore store;
  private final TimerService timers;
  private final FleetNode self;
  private final long nonce;
  private final long deadlineNanos;

  /**
   * Creates a takeover by {@code self}.
   *
   * @param nonce a random number that distinguishes the record from those of other takeovers
   */
  Takeover(JobStore store, TimerService timers, FleetNode self, long nonce) {
    this.store = store;
    this.timers = timers;
    this.self = self;
    this.nonce = nonce;
    this.deadlineNanos = timers.nowNanos() + TIMEOUT.toNanos();
  }

  /**
   * Replaces the ownership record.
   *
   * @param absence the condition on the former owner, empty if it has consented or is an earlier
   *     incarnation of this daemon
   */
  CompletableFuture<TakeoverReply> run(StoredOwner before, Optional<AbsenceCondition> absence) {
    JobOwner next = before.owner().takenOverBy(self.vm(), self.incarnation(), nonce);
    Duration remaining = Duration.ofNanos(deadlineNanos - timers.nowNanos());
    return store
        .takeOver(before, next, absence, remaining)
        .thenCompose(reply -> onReply(reply, before, next, absence));
  }

  private CompletableFuture<TakeoverReply> onReply(
      TransactionReply reply,
      StoredOwner before,
      JobOwner next,
      Optional<AbsenceCondition> absence) {
    if (reply instanceof TransactionReply.Conflict conflict) {
      return onConflict(conflict, before, next, absence);
    }
    return CompletableFuture.completedFuture(decided(reply, before.job(), next));
  }

  private static TakeoverReply decided(TransactionReply reply, JobId job, JobOwner next) {
    if (reply instanceof TransactionReply.Committed committed) {
      return new TakeoverReply.Taken(new StoredOwner(job, next, committed.revision()));
    }
    if (reply instanceof TransactionReply.NotDone notDone) {
      return new TakeoverReply.NotDone(notDone.error());
    }
    return new TakeoverReply.Unknown(
        reply instanceof TransactionReply.Unknown unknown
            ? unknown.error()
            : ErrorDetail.of(ResultCode.INTERNAL, "unexpected reply " + reply));
  }

  private CompletableFuture<TakeoverReply> onConflict(
      TransactionReply.Conflict conflict,
      StoredOwner before,
      JobOwner next,
      Optional<AbsenceCondition> absence) {
    ImmutableList<StoredOwner> found = JobStore.storedOwners(conflict);
    if (found.isEmpty()) {
      return CompletableFuture.completedFuture(new TakeoverReply.Lost(found));
    }
    StoredOwner current = found.get(0);
    if (current.owner().equals(next)) {
      return CompletableFuture.completedFuture(new TakeoverReply.Taken(current));
    }
    JobOwner former = before.owner();
    if (absence.isEmpty() || !current.owner().isHeldBy(former.vm(), former.incarnation())) {
      return CompletableFuture.completedFuture(new TakeoverReply.Lost(found));
    }
    Optional<AbsenceCondition> renewed = absence.get().after(conflict);
    return renewed.isPresent()
        ? retry(current, renewed)
        : CompletableFuture.completedFuture(new TakeoverReply.OwnerRegistered(current));
  }

  private CompletableFuture<TakeoverReply> retry(
      StoredOwner current, Optional<AbsenceCondition> absence) {
    if (deadlineNanos - timers.nowNanos() <= RETRY_DELAY.toNanos()) {
      return CompletableFuture.completedFuture(
          new TakeoverReply.Unknown(
              ErrorDetail.of(
                  ResultCode.PLATFORM_UNAVAILABLE,
                  "the registration of the former owner has changed again and again")));
    }
    CompletableFuture<TakeoverReply> reply = new CompletableFuture<>();
    timers.after(RETRY_DELAY, () -> run(current, absence).thenAccept(reply::complete));
    return reply;
  }
}
