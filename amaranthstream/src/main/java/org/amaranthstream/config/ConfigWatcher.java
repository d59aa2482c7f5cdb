package org.amaranthstream.config;

import com.google.common.collect.Comparators;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.ConfigGeneration;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.platform.KeyValueStore;
import org.amaranthstream.platform.KvEntry;
import org.amaranthstream.result.Result;
import org.amaranthstream.ring.Duty;
import org.amaranthstream.time.Subscription;
import org.amaranthstream.time.TimerService;

/**
 * Watcher of the configuration document in the key-value service. It runs a loop of watch calls,
 * with a plain read once per poll interval, and restarts the loop if a call does not complete.
 *
 * <p>Runs on the configuration manager's duty; {@link #isReachable}, {@link #isBehind} and {@link
 * #generation} are thread safe.
 */
final class ConfigWatcher {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int OLDER_READS_TO_ALARM = 2;
  private static final Revision NO_REVISION = Revision.of(0);
  private static final ConfigGeneration NO_GENERATION = ConfigGeneration.of(0);

  private final Duty duty;
  private final DutyCallbacks callbacks;
  private final TimerService timers;
  private final KeyValueStore store;
  private final ActiveConfigHolder activeConfig;
  private final ConfigTiming timing;

  private long cycle;
  private long cycleStartNanos;
  private long plainReadNanos;
  private boolean hasRead;
  private Revision lastRevision = NO_REVISION;
  private int olderReads;
  private Duration retryDelay = ConfigTiming.MIN_RETRY_DELAY;
  private Optional<Subscription> watchdog = Optional.empty();
  private boolean stopped;
  private volatile boolean reachable;
  private volatile boolean behind;
  private volatile ConfigGeneration generation = NO_GENERATION;

  ConfigWatcher(
      Duty duty,
      TimerService timers,
      KeyValueStore store,
      ActiveConfigHolder activeConfig,
      ConfigTiming timing) {
    this.duty = duty;
    this.callbacks = new DutyCallbacks(duty);
    this.timers = timers;
    this.store = store;
    this.activeConfig = activeConfig;
    this.timing = timing;
  }

  /** Starts the loop. */
  void start() {
    Duration stallTimeout = timing.watchWait().plus(timing.callTimeout().multipliedBy(2));
    watchdog =
        Optional.of(
            timers.every(stallTimeout, () -> duty.offer(() -> restartIfStalled(stallTimeout))));
    startCycle();
  }

  /** Stops the loop after the call in progress. */
  void stop() {
    stopped = true;
    watchdog.ifPresent(Subscription::cancel);
  }

  /** Returns true if the last call to the service got a response. */
  boolean isReachable() {
    return reachable;
  }

  /** Returns true if the service holds an older generation than the active one. */
  boolean isBehind() {
    return behind;
  }

  /** Returns the generation last read from the service. */
  ConfigGeneration generation() {
    return generation;
  }

  /** Records a document that this daemon has written. */
  void recordWritten(Revision revision, ConfigGeneration written) {
    lastRevision = revision;
    generation = written;
    clearBehind();
  }

  /** Applies the result of a read of the service; empty if there is no document. */
  void observe(Optional<KvEntry> entry) {
    Optional<ConfigDocument> document = entry.flatMap(this::decode);
    document.ifPresent(value -> activeConfig.apply(value, ConfigSource.PLATFORM));
    lastRevision = entry.map(KvEntry::revision).orElse(NO_REVISION);
    generation = document.map(ConfigDocument::generation).orElse(NO_GENERATION);
    if (activeConfig.generation().isAfter(generation)) {
      recordOlderRead();
    } else {
      clearBehind();
    }
  }

  private Optional<ConfigDocument> decode(KvEntry entry) {
    Result<ConfigDocument> decoded = ConfigDocumentCodec.decode(entry.value());
    if (decoded instanceof Result.Success<ConfigDocument> success) {
      return Optional.of(success.value());
    }
    activeConfig.recordRejected(
        "unknown",
        ConfigSource.PLATFORM,
        ((Result.Failure<ConfigDocument>) decoded).error().message());
    return Optional.empty();
  }

  /**
   * Counts a read of an older generation. A single one may be a stale read; the second one in
   * succession marks the service as behind.
   */
  private void recordOlderRead() {
    olderReads++;
    if (olderReads >= OLDER_READS_TO_ALARM && !behind) {
      behind = true;
      logger.atSevere().log(
          "event=config_platform_behind platform=%s applied=%s",
          generation, activeConfig.generation());
    }
  }

  private void clearBehind() {
    olderReads = 0;
    if (behind) {
      behind = false;
      logger.atInfo().log("event=config_platform_caught_up generation=%s", generation);
    }
  }

  private void startCycle() {
    if (stopped) {
      return;
    }
    cycle++;
    cycleStartNanos = timers.nowNanos();
    long started = cycle;
    boolean isPlainRead = isPlainReadDue();
    callbacks.thenAccept(
        readOrWatch(isPlainRead), response -> endCycle(started, response, isPlainRead), () -> {});
  }

  private CompletableFuture<Result<Optional<KvEntry>>> readOrWatch(boolean isPlainRead) {
    if (!isPlainRead) {
      return store.watch(ConfigManager.KEY, lastRevision, timing.watchWait());
    }
    hasRead = true;
    plainReadNanos = timers.nowNanos();
    return store.get(ConfigManager.KEY);
  }

  private boolean isPlainReadDue() {
    boolean isUnconfirmed = olderReads > 0 && olderReads < OLDER_READS_TO_ALARM;
    long elapsedNanos = timers.nowNanos() - plainReadNanos;
    return !hasRead || isUnconfirmed || elapsedNanos >= timing.pollInterval().toNanos();
  }

  private void endCycle(long ended, Result<Optional<KvEntry>> response, boolean isPlainRead) {
    reachable = response instanceof Result.Success;
    if (response instanceof Result.Success<Optional<KvEntry>> success) {
      if (isPlainRead || success.value().isPresent()) {
        observe(success.value());
      }
    }
    if (ended == cycle) {
      scheduleNextCycle(reachable ? ConfigTiming.CYCLE_DELAY : nextRetryDelay());
    }
  }

  private void scheduleNextCycle(Duration delay) {
    if (reachable) {
      retryDelay = ConfigTiming.MIN_RETRY_DELAY;
    }
    long expected = cycle;
    Runnable task = () -> startCycleIfLatest(expected);
    timers.after(delay, () -> duty.offer(task));
  }

  private void startCycleIfLatest(long expected) {
    if (cycle == expected) {
      startCycle();
    }
  }

  private Duration nextRetryDelay() {
    Duration delay = retryDelay;
    retryDelay = Comparators.min(delay.multipliedBy(2), ConfigTiming.MAX_RETRY_DELAY);
    return delay;
  }

  private void restartIfStalled(Duration stallTimeout) {
    if (timers.nowNanos() - cycleStartNanos >= stallTimeout.toNanos()) {
      reachable = false;
      logger.atWarning().log("event=config_watch_silent after_ms=%d", stallTimeout.toMillis());
      startCycle();
    }
  }
}
