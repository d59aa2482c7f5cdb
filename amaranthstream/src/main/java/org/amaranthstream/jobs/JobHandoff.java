package org.amaranthstream.jobs;

import com.google.common.flogger.FluentLogger;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.membership.RendezvousHash;
import org.amaranthstream.result.Result;

/**
 * Hands the jobs of a daemon that leaves to others, with the text that is not listed yet.
 *
 * <p>Answers the load pattern of a rolling restart: each daemon owns jobs with long items, and an
 * item that starts anew misses its step. Used on one thread.
 */
final class JobHandoff {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final JobRegistry registry;
  private final JobOwnershipManager ownership;
  private final RemoteJobs remote;

  JobHandoff(JobRegistry registry, JobOwnershipManager ownership, RemoteJobs remote) {
    this.registry = registry;
    this.ownership = ownership;
    this.remote = remote;
  }

  /** Hands all jobs over; the future completes once each was taken or nobody took it. */
  CompletableFuture<Void> start() {
    return CompletableFuture.allOf(
        registry.owned().stream().map(this::handOff).toArray(CompletableFuture<?>[]::new));
  }

  private CompletableFuture<Void> handOff(OwnedJob job) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    List<EntryVmId> candidates = RendezvousHash.order(job.id().value(), remote.peers());
    offer(job, candidates.iterator(), done);
    return done;
  }

  private void offer(OwnedJob job, Iterator<EntryVmId> peers, CompletableFuture<Void> done) {
    if (!peers.hasNext() || job.isOwnershipLost()) {
      done.complete(null);
      return;
    }
    EntryVmId vm = peers.next();
    remote
        .handOff(vm, job.owner(), job.partials())
        .thenAccept(
            result -> {
              logger.atInfo().log(
                  "event=job_handed_over job=%s vm=%s result=%s", job.id(), vm, result);
              if (result instanceof Result.Success) {
                ownership.release(job);
                done.complete(null);
              } else {
                offer(job, peers, done);
              }
            });
  }
}
