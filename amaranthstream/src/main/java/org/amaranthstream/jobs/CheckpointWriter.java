package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Random;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.time.TimerService;

/**
 * Saves the texts of long items while they are generated, so that the next owner resumes them.
 *
 * <p>Answers the load pattern of a step with a few very long items whose owner is killed, alone or
 * with all others: generated anew, these items would take as long as the whole step. Short items
 * are not saved. What cannot be saved is saved with the next part. Used on one thread.
 */
final class CheckpointWriter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration CHECKPOINT_INTERVAL = Duration.ofMillis(600);
  private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(2);

  /** An item with fewer events is soon generated anew. */
  private static final int MIN_EVENTS = 20;

  private static final int MAX_PAGE_BYTES = 400_000;

  private final JobStore store;
  private final TimerService timers;
  private final Random nonces;

  CheckpointWriter(JobStore store, TimerService timers, Random nonces) {
    this.store = store;
    this.timers = timers;
    this.nonces = nonces;
  }

  /** Saves the texts of {@code job} from now on, as long as it runs. */
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
        .thenAccept(reply -> onReply(job, parts, reply));
  }

  private void onReply(OwnedJob job, ImmutableList<CheckpointPart> parts, TransactionReply reply) {
    if (reply instanceof TransactionReply.Committed) {
      job.markSaved(parts);
    }
    logger.atFine().log(
        "event=progress_saved job=%s texts=%d reply=\"%s\"", job.id(), parts.size(), reply);
    add(job);
  }
}
