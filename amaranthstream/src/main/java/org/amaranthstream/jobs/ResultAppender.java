package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.time.TimerService;

/**
 * Appends finished results to the store, in pages: one at a time for each job, so that positions
 * are fixed in the order of the pages.
 *
 * <p>Answers the load pattern of a trainer that goes on once it has read as many groups as it asked
 * for: from then on nothing waits for more results to share its page. Used on one thread.
 */
final class ResultAppender {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Results that finish within this time share a page, which is one call to the store. */
  private static final Duration BATCH_DELAY = Duration.ofMillis(350);

  private static final int MAX_PAGE_BYTES = 600_000;

  private final JobStore store;
  private final TimerService timers;
  private final Random nonces;
  private final ConflictHandler conflicts;
  private final Set<JobId> scheduled = new HashSet<>();

  /** What follows a page that another daemon's change has forestalled. */
  @FunctionalInterface
  interface ConflictHandler {
    /** The job's owner has changed or the job has ended. */
    void onConflict(OwnedJob job);
  }

  ResultAppender(JobStore store, TimerService timers, Random nonces, ConflictHandler conflicts) {
    this.store = store;
    this.timers = timers;
    this.nonces = nonces;
    this.conflicts = conflicts;
  }

  /** Lists what has finished, a little later. */
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
    store
        .append(job.owner(), job.listedCount(), page, nonces.nextLong())
        .thenAccept(reply -> onReply(job, page, reply));
  }

  private void onReply(OwnedJob job, ImmutableList<ItemResult> page, TransactionReply reply) {
    job.setAppending(false);
    if (reply instanceof TransactionReply.Committed committed) {
      int from = job.listedCount();
      job.addListed(page);
      logger.atInfo().log(
          "event=results_listed job=%s from=%d to=%d groups_complete=%d revision=%s",
          job.id(), from, job.listedCount(), job.completeGroups(), committed.revision());
      schedule(job);
      return;
    }
    logger.atWarning().log("event=results_not_listed job=%s reply=\"%s\"", job.id(), reply);
    conflicts.onConflict(job);
  }
}
