package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Random;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.time.TimerService;

/**
 * Writer of checkpoints: saves the partial output of long items to the store at an interval, so
 * that the next owner can resume them.
 *
 * <p>Guards against a crash of the owner, or of all daemons, during a step with a few very long
 * items: to generate these items again would take as long as the whole step. Short items are not
 * saved. A part whose write fails is included in the next part, and a conflict is reported, as it
 * may be the first sign of another owner. Must be used on one thread.
 */
final class CheckpointWriter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration CHECKPOINT_INTERVAL = Duration.ofMillis(600);
  private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(2);

  /** Items with fewer events are not saved, as they are quickly generated again. */
  private static final int MIN_EVENTS = 20;

  private static final int MAX_PAGE_BYTES = 400_000;

  private final JobStore store;
  private final TimerService timers;
  private final Random nonces;
  private final ResultAppender.ConflictHandler conflicts;

  CheckpointWriter(
      JobStore store,
      TimerService timers,
      Random nonces,
      ResultAppender.ConflictHandler conflicts) {
    this.conflicts = conflicts;
    this.store = store;
    this.timers = timers;
    this.nonces = nonces;
  }

  /** Starts to save the partial output of {@code job}, until the job ends or is lost. */
  void add(OwnedJob job) {
    if (job.isRunnable() && job.hasOpenItems()) {
      timers.after(CHECKPOINT_INTERVAL, () -> save(job));
    }
  }

  private void save(OwnedJob job) {
    if (!job.isRunnable()) {
      return;
    }
    ImmutableList<CheckpointPart> parts = job.takeUnsavedTexts(MIN_EVENTS, MAX_PAGE_BYTES);
    if (parts.isEmpty()) {
      add(job);
      return;
    }
    store
        .saveProgress(job.owner(), job.takeProgressPage(), parts, nonces.nextLong(), WRITE_TIMEOUT)
        .thenAccept(response -> onResponse(job, parts, response));
  }

  private void onResponse(
      OwnedJob job, ImmutableList<CheckpointPart> parts, TransactionReply response) {
    if (response instanceof TransactionReply.Committed) {
      job.markSaved(parts);
    } else if (response instanceof TransactionReply.Conflict) {
      conflicts.onConflict(job);
    }
    logger.atFine().log(
        "event=progress_saved job=%s texts=%d reply=\"%s\"", job.id(), parts.size(), response);
    add(job);
  }
}
