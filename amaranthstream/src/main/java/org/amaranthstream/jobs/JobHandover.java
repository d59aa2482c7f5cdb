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
final class JobHandover {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final JobBook book;
  private final JobKeeper keeper;
  private final RemoteJobs remote;

  JobHandover(JobBook book, JobKeeper keeper, RemoteJobs remote) {
    this.book = book;
    this.keeper = keeper;
    this.remote = remote;
  }

  /** Hands all jobs over; the future completes once each was taken or nobody took it. */
  CompletableFuture<Void> start() {
    return CompletableFuture.allOf(
        book.owned().stream().map(this::handOver).toArray(CompletableFuture<?>[]::new));
  }

  private CompletableFuture<Void> handOver(OwnedJob job) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    List<EntryVmId> order = RendezvousHash.order(job.id().value(), remote.others());
    ask(job, order.iterator(), done);
    return done;
  }

  private void ask(OwnedJob job, Iterator<EntryVmId> others, CompletableFuture<Void> done) {
    if (!others.hasNext() || job.isLost()) {
      done.complete(null);
      return;
    }
    EntryVmId vm = others.next();
    remote
        .handOver(vm, job.owner(), job.partials())
        .thenAccept(
            result -> {
              logger.atInfo().log(
                  "event=job_handed_over job=%s vm=%s result=%s", job.id(), vm, result);
              if (result instanceof Result.Success) {
                keeper.letGo(job);
                done.complete(null);
              } else {
                ask(job, others, done);
              }
            });
  }
}
