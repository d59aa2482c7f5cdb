package org.amaranthstream.jobs;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.BackendServerId;
import org.jspecify.annotations.Nullable;

/**
 * Progress of one item of an owned job: its state, the text received so far, and its retries.
 *
 * <p>Not thread safe. Callers pass times as monotonic nanoseconds.
 */
final class ItemProgress {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(50);
  private static final Duration MAX_BACKOFF = Duration.ofMillis(2_000);
  private static final int MAX_DOUBLINGS = 6;

  /** State of an item. */
  enum State {
    WAITING,
    RUNNING,
    FINISHED
  }

  private final ItemSpec spec;
  private final long expectedTokens;
  private final ItemText text = new ItemText();
  private State state = State.WAITING;
  private int failures;
  private int consecutiveBreaks;
  private long notBeforeNanos = Long.MIN_VALUE;
  private @Nullable ItemRunner runner;
  private @Nullable BackendServerId lastServer;

  ItemProgress(ItemSpec spec, long expectedTokens) {
    this.spec = spec;
    this.expectedTokens = expectedTokens;
  }

  ItemSpec spec() {
    return spec;
  }

  /** Returns the expected length of the whole text, in tokens. */
  long expectedTokens() {
    return expectedTokens;
  }

  ItemText text() {
    return text;
  }

  boolean isWaiting() {
    return state == State.WAITING;
  }

  boolean isRunning() {
    return state == State.RUNNING;
  }

  boolean isFinished() {
    return state == State.FINISHED;
  }

  boolean isReady(long nowNanos) {
    return state == State.WAITING && nowNanos >= notBeforeNanos;
  }

  void onRunStarted(ItemRunner started) {
    state = State.RUNNING;
    runner = started;
    lastServer = started.server().id();
  }

  /** Returns the current run, empty if the item is not running. */
  Optional<ItemRunner> runner() {
    return Optional.ofNullable(runner);
  }

  /** Makes the item ready for its next run without a delay. */
  void retryImmediately() {
    state = State.WAITING;
    runner = null;
  }

  /** Delays the next run, with a backoff that doubles with each consecutive broken run. */
  void retryLater(long nowNanos, String reason) {
    state = State.WAITING;
    runner = null;
    long backoffNanos = INITIAL_BACKOFF.toNanos() << Math.min(consecutiveBreaks, MAX_DOUBLINGS);
    notBeforeNanos = nowNanos + Math.min(backoffNanos, MAX_BACKOFF.toNanos());
    consecutiveBreaks++;
    logger.atInfo().log(
        "event=item_broken item=%s server=%s last_event=%d breaks=%d reason=\"%s\"",
        spec.id(), lastServer, text.lastEvent(), consecutiveBreaks, reason);
  }

  /** Records that a run has generated text, which resets the backoff. */
  void onProgress() {
    consecutiveBreaks = 0;
  }

  /** Counts a run that the server failed, and returns the number of such runs. */
  int countFailure() {
    failures++;
    return failures;
  }

  void finish() {
    state = State.FINISHED;
    runner = null;
  }

  /** Cancels the current run, if there is one. */
  void cancel() {
    ItemRunner running = runner;
    runner = null;
    if (running != null) {
      running.cancel();
    }
  }
}
