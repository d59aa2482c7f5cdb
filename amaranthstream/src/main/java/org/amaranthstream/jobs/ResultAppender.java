package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.time.TimerService;

/**
 * Writer that appends finished results to the store in pages. It writes one page of a job at a
 * time, so that the order of the pages fixes the positions of the results.
 *
 * <p>A trainer continues as soon as it has read as many groups as it asked for. Once that many
 * groups are complete, results are therefore written without the delay that lets them share a page.
 * Must be used on one thread.
 */
final class ResultAppender {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Results that finish within this delay share a page, which takes one call to the store. */
  private static final Duration BATCH_DELAY = Duration.ofMillis(350);

  private static final int MAX_PAGE_BYTES = 600_000;

  private final JobStore store;
  private final ResultCache cache;
  private final TimerService timers;
  private final Random nonces;
  private final ConflictHandler conflicts;
  private final Set<JobId> scheduled = new HashSet<>();

  /** Handler for a page that the store did not accept. */
  @FunctionalInterface
  interface ConflictHandler {
    /**
     * Called when the owner of the job may have changed or the job may have ended.
     *
     * @return completes once the owner is known
     */
    CompletableFuture<Void> onConflict(OwnedJob job);
  }

  ResultAppender(
      JobStore store,
      ResultCache cache,
      TimerService timers,
      Random nonces,
      ConflictHandler conflicts) {
    this.store = store;
    this.cache = cache;
    this.timers = timers;
    this.nonces = nonces;
    this.conflicts = conflicts;
  }

  /** Schedules a write of the results that are not listed yet. */
  void schedule(OwnedJob job) {
    if (!job.hasUnlisted() || job.isAppending() || !scheduled.add(job.id())) {
      return;
    }
    timers.after(hasWantedGroups(job) ? Duration.ZERO : BATCH_DELAY, () -> append(job));
  }

  private static boolean hasWantedGroups(OwnedJob job) {
    return job.completeGroups() >= job.spec().wantedGroups();
  }

  private void append(OwnedJob job) {
    scheduled.remove(job.id());
    if (!job.hasUnlisted() || job.isAppending() || !job.isRunnable()) {
      return;
    }
    ImmutableList<ItemResult> page = job.nextPage(MAX_PAGE_BYTES);
    job.setAppending(true);
    StoredOwner owner = job.owner();
    store
        .append(owner, job.listedCount(), page, nonces.nextLong())
        .thenAccept(reply -> onReply(job, owner, page, reply));
  }

  private void onReply(
      OwnedJob job, StoredOwner owner, ImmutableList<ItemResult> page, TransactionReply reply) {
    job.setAppending(false);
    if (reply instanceof TransactionReply.Committed committed) {
      int from = job.listedCount();
      cache.put(job.addListed(page), page);
      job.notifyListed();
      logger.atInfo().log(
          "event=results_listed job=%s from=%d to=%d groups_complete=%d revision=%s",
          job.id(), from, job.listedCount(), job.completeGroups(), committed.revision());
      schedule(job);
      return;
    }
    logger.atWarning().log("event=results_not_listed job=%s reply=\"%s\"", job.id(), reply);
    if (reply instanceof TransactionReply.Conflict) {
      job.returnPage(page);
      conflicts.onConflict(job).thenRun(() -> appendAgain(job, owner));
    } else {
      job.dropPage(page);
      conflicts.onConflict(job);
    }
  }

  /** Appends results again whose page conflicted with a newer record of this owner. */
  private void appendAgain(OwnedJob job, StoredOwner before) {
    if (!job.owner().revision().equals(before.revision())) {
      schedule(job);
    }
  }
}
