package org.amaranthstream.jobs;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.memory.Reservation;
import org.jspecify.annotations.Nullable;

/**
 * Progress of one item of an owned job: its stage, the text received so far, and its retries.
 *
 * <p>Not thread safe. Callers pass times as monotonic nanoseconds.
 */
final class ItemProgress {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(50);
  private static final Duration MAX_BACKOFF = Duration.ofMillis(2_000);
  private static final int MAX_DOUBLINGS = 6;

  /** State of an item in its current stage. */
  enum State {
    WAITING,
    RUNNING,
    FINISHED
  }

  private final ItemSpec spec;
  private final long expectedTokens;
  private final ItemText text;
  private ItemStage stage = ItemStage.GENERATE;
  private State state = State.WAITING;
  private int failures;
  private int consecutiveBreaks;
  private long notBeforeNanos = Long.MIN_VALUE;
  private OptionalLong blockedSinceNanos = OptionalLong.empty();
  private @Nullable StageRun run;
  private @Nullable BackendServerId lastServer;

  ItemProgress(ItemSpec spec, long expectedTokens, Reservation memory) {
    this.spec = spec;
    this.text = new ItemText(memory);
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

  ItemStage stage() {
    return stage;
  }

  boolean isRunning() {
    return state == State.RUNNING;
  }

  boolean isFinished() {
    return state == State.FINISHED;
  }

  /** Returns true if work on {@code wanted} may start now. */
  boolean isReady(ItemStage wanted, long nowNanos) {
    return stage == wanted && state == State.WAITING && nowNanos >= notBeforeNanos;
  }

  /** Moves the item to the next stage that it needs, with new counts of failures. */
  void advance() {
    stage = stage.next(spec);
    state = State.WAITING;
    run = null;
    failures = 0;
    consecutiveBreaks = 0;
    notBeforeNanos = Long.MIN_VALUE;
    logger.atFine().log(
        "event=item_stage item=%s stage=%s last_event=%d", spec.id(), stage, text.lastEvent());
  }

  void onRunStarted(StageRun started) {
    state = State.RUNNING;
    run = started;
    blockedSinceNanos = OptionalLong.empty();
    if (started instanceof ItemRunner runner) {
      lastServer = runner.server().id();
    }
  }

  /**
   * Returns for how long the item has been blocked since its last run: ready to start, but not at
   * the servers with free slots. The time starts with the first call.
   */
  Duration blockedTime(long nowNanos) {
    if (blockedSinceNanos.isEmpty()) {
      blockedSinceNanos = OptionalLong.of(nowNanos);
    }
    return Duration.ofNanos(nowNanos - blockedSinceNanos.getAsLong());
  }

  /** Returns the current run at an engine, empty if the text is not being generated. */
  Optional<ItemRunner> runner() {
    return run instanceof ItemRunner runner ? Optional.of(runner) : Optional.empty();
  }

  /** Discards the text, so that the item can start at any server. */
  void restart() {
    logger.atInfo().log(
        "event=item_restarted item=%s software=%s last_event=%d",
        spec.id(), text.softwareVersion().map(SoftwareVersion::value).orElse(""), text.lastEvent());
    text.clear();
  }

  /** Makes the item ready for its next run without a delay. */
  void retryImmediately() {
    state = State.WAITING;
    run = null;
  }

  /** Delays the next run, with a backoff that doubles with each consecutive broken run. */
  void retryLater(long nowNanos, String reason) {
    long backoffNanos = INITIAL_BACKOFF.toNanos() << Math.min(consecutiveBreaks, MAX_DOUBLINGS);
    consecutiveBreaks++;
    retryAfter(nowNanos, Duration.ofNanos(Math.min(backoffNanos, MAX_BACKOFF.toNanos())), reason);
  }

  /** Delays the next run by {@code delay}. */
  void retryAfter(long nowNanos, Duration delay, String reason) {
    state = State.WAITING;
    run = null;
    notBeforeNanos = nowNanos + delay.toNanos();
    logger.atInfo().log(
        "event=item_broken item=%s stage=%s server=%s last_event=%d breaks=%d reason=\"%s\"",
        spec.id(), stage, lastServer, text.lastEvent(), consecutiveBreaks, reason);
  }

  /** Returns the number of consecutive runs without a valid response. */
  int consecutiveBreaks() {
    return consecutiveBreaks;
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
    run = null;
  }

  /** Cancels the current run, if there is one. */
  void cancel() {
    StageRun running = run;
    run = null;
    if (running != null) {
      running.cancel();
    }
  }
}
