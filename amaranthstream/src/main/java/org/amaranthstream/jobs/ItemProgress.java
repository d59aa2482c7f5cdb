package org.amaranthstream.jobs;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.ids.BackendServerId;
import org.jspecify.annotations.Nullable;

/**
 * How far an item of an owned job is.
 *
 * <p>Not thread safe; times are monotonic nanoseconds that callers pass in.
 */
final class ItemProgress {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(50);
  private static final Duration MAX_BACKOFF = Duration.ofMillis(2_000);
  private static final int MAX_DOUBLINGS = 6;

  /** Where an item stands. */
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

  /** Returns the expected length of the text that is still to be generated. */
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

  /** Returns the run that is under way. */
  Optional<ItemRunner> runner() {
    return Optional.ofNullable(runner);
  }

  /** The item waits for its next run, without delay. */
  void retryImmediately() {
    state = State.WAITING;
    runner = null;
  }

  /** The item waits for its next run, longer after each break in a row. */
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

  /** A run has brought the item further. */
  void onProgress() {
    consecutiveBreaks = 0;
  }

  /** Counts a run that the server failed; returns the number of them. */
  int countFailure() {
    failures++;
    return failures;
  }

  void finish() {
    state = State.FINISHED;
    runner = null;
  }

  /** Ends the run at the server, if there is one. */
  void cancel() {
    ItemRunner running = runner;
    runner = null;
    if (running != null) {
      running.cancel();
    }
  }
}
