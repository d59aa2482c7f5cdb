package org.amaranthstream.jobs;

import com.google.common.flogger.FluentLogger;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.membership.RendezvousHash;

/**
 * Handoff of owned jobs to peers, with the output that is not listed yet, when this daemon shuts
 * down or reaches none of the servers of a job.
 *
 * <p>In a rolling restart each daemon owns jobs with long items. An item that restarted from the
 * beginning would finish too late for its step, so the partial output goes to the next owner. Used
 * on one thread.
 */
final class JobHandoff {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final JobRegistry registry;
  private final JobOwnershipManager ownership;
  private final RemoteJobs remote;
  private int open;

  JobHandoff(JobRegistry registry, JobOwnershipManager ownership, RemoteJobs remote) {
    this.registry = registry;
    this.ownership = ownership;
    this.remote = remote;
  }

  /**
   * Offers each job to the peers in turn.
   *
   * @return completes once every job has a new owner or no peer has taken it over
   */
  CompletableFuture<Void> start() {
    return CompletableFuture.allOf(
        registry.owned().stream().map(this::handOff).toArray(CompletableFuture<?>[]::new));
  }

  /**
   * Offers a job to the peers in turn.
   *
   * @return completes once the job has a new owner or no peer has taken it over
   */
  CompletableFuture<Void> handOff(OwnedJob job) {
    return handOff(job, HandoffCondition.NONE);
  }

  private CompletableFuture<Void> handOff(OwnedJob job, HandoffCondition condition) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    List<EntryVmId> candidates = RendezvousHash.order(job.id().value(), remote.peers());
    open++;
    offer(job, condition, candidates.iterator(), done);
    return done.whenComplete((unused, failure) -> open--);
  }

  /** Returns true while a job is offered to peers. */
  boolean isInProgress() {
    return open > 0;
  }

  /**
   * Offers a job to the peers in turn, each of which accepts only if it reaches the job's servers.
   *
   * @return completes once the job has a new owner or no peer has taken it over
   */
  CompletableFuture<Void> handOffToReachingPeer(OwnedJob job) {
    return handOff(job, HandoffCondition.REACHES_SERVERS);
  }

  private void offer(
      OwnedJob job,
      HandoffCondition condition,
      Iterator<EntryVmId> peers,
      CompletableFuture<Void> done) {
    if (!peers.hasNext() || job.isOwnershipLost()) {
      done.complete(null);
      return;
    }
    EntryVmId vm = peers.next();
    remote
        .handOff(vm, job, condition)
        .thenCompose(outcome -> onOffered(job, vm, outcome))
        .thenRun(() -> offer(job, condition, peers, done));
  }

  /** Completes once it is certain whether this daemon still owns the job. */
  private CompletableFuture<Void> onOffered(OwnedJob job, EntryVmId vm, TakeoverOutcome outcome) {
    logger.atInfo().log("event=job_handed_over job=%s vm=%s outcome=%s", job.id(), vm, outcome);
    if (outcome == TakeoverOutcome.UNKNOWN) {
      return ownership.reclaim(job);
    }
    if (outcome == TakeoverOutcome.TAKEN) {
      ownership.release(job);
    }
    return CompletableFuture.completedFuture(null);
  }
}
