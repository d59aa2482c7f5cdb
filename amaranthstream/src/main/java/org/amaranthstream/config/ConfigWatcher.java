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
 * Follows the document in the key-value service: a watch, a plain read now and then, and a restart
 * of the loop if a call goes silent.
 *
 * <p>Runs on the keeper's duty; {@link #isReachable}, {@link #isBehind} and {@link #generation} are
 * thread safe.
 */
final class ConfigWatcher {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOW_READS_TO_ALARM = 2;
  private static final Revision NO_REVISION = Revision.of(0);
  private static final ConfigGeneration NO_GENERATION = ConfigGeneration.of(0);

  private final Duty duty;
  private final DutyCallbacks replies;
  private final TimerService timers;
  private final KeyValueStore store;
  private final ActiveConfigHolder ledger;
  private final ConfigTiming timing;

  private long cycle;
  private long cycleStartNanos;
  private long plainReadNanos;
  private boolean hasRead;
  private Revision seen = NO_REVISION;
  private int lowReads;
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
      ActiveConfigHolder ledger,
      ConfigTiming timing) {
    this.duty = duty;
    this.replies = new DutyCallbacks(duty);
    this.timers = timers;
    this.store = store;
    this.ledger = ledger;
    this.timing = timing;
  }

  void start() {
    Duration silence = timing.watchWait().plus(timing.callTimeout().multipliedBy(2));
    watchdog = Optional.of(timers.every(silence, () -> duty.offer(() -> restartIfSilent(silence))));
    startCycle();
  }

  void stop() {
    stopped = true;
    watchdog.ifPresent(Subscription::cancel);
  }

  boolean isReachable() {
    return reachable;
  }

  /** Returns true if the service holds an older generation than is in force here. */
  boolean isBehind() {
    return behind;
  }

  /** Returns the generation last read from the service. */
  ConfigGeneration generation() {
    return generation;
  }

  /** Takes a document that this daemon has written. */
  void noteWritten(Revision revision, ConfigGeneration written) {
    seen = revision;
    generation = written;
    clearBehind();
  }

  /** Takes what a read of the service returned, empty if there is no document. */
  void observe(Optional<KvEntry> entry) {
    Optional<ConfigDocument> document = entry.flatMap(this::decode);
    document.ifPresent(value -> ledger.apply(value, ConfigSource.PLATFORM));
    seen = entry.map(KvEntry::revision).orElse(NO_REVISION);
    generation = document.map(ConfigDocument::generation).orElse(NO_GENERATION);
    if (ledger.generation().isAfter(generation)) {
      noteLowRead();
    } else {
      clearBehind();
    }
  }

  private Optional<ConfigDocument> decode(KvEntry entry) {
    Result<ConfigDocument> decoded = ConfigDocumentCodec.decode(entry.value());
    if (decoded instanceof Result.Success<ConfigDocument> success) {
      return Optional.of(success.value());
    }
    ledger.noteRefused(
        "unknown",
        ConfigSource.PLATFORM,
        ((Result.Failure<ConfigDocument>) decoded).error().message());
    return Optional.empty();
  }

  /** A single low read may be stale; a second one raises the alarm. */
  private void noteLowRead() {
    lowReads++;
    if (lowReads >= LOW_READS_TO_ALARM && !behind) {
      behind = true;
      logger.atSevere().log(
          "event=config_platform_behind platform=%s applied=%s", generation, ledger.generation());
    }
  }

  private void clearBehind() {
    lowReads = 0;
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
    long own = cycle;
    boolean plain = isPlainReadDue();
    replies.on(call(plain), reply -> endCycle(own, reply, plain), () -> {});
  }

  private CompletableFuture<Result<Optional<KvEntry>>> call(boolean plain) {
    if (!plain) {
      return store.watch(ConfigManager.KEY, seen, timing.watchWait());
    }
    hasRead = true;
    plainReadNanos = timers.nowNanos();
    return store.get(ConfigManager.KEY);
  }

  private boolean isPlainReadDue() {
    boolean isUnsure = lowReads > 0 && lowReads < LOW_READS_TO_ALARM;
    long sinceNanos = timers.nowNanos() - plainReadNanos;
    return !hasRead || isUnsure || sinceNanos >= timing.pollInterval().toNanos();
  }

  private void endCycle(long ended, Result<Optional<KvEntry>> reply, boolean plain) {
    reachable = reply instanceof Result.Success;
    if (reply instanceof Result.Success<Optional<KvEntry>> success) {
      if (plain || success.value().isPresent()) {
        observe(success.value());
      }
    }
    if (ended == cycle) {
      runLater(reachable ? ConfigTiming.CYCLE_SPACING : nextRetryDelay());
    }
  }

  private void runLater(Duration delay) {
    if (reachable) {
      retryDelay = ConfigTiming.MIN_RETRY_DELAY;
    }
    long expected = cycle;
    Runnable task = () -> startCycleAfter(expected);
    timers.after(delay, () -> duty.offer(task));
  }

  private void startCycleAfter(long expected) {
    if (cycle == expected) {
      startCycle();
    }
  }

  private Duration nextRetryDelay() {
    Duration delay = retryDelay;
    retryDelay = Comparators.min(delay.multipliedBy(2), ConfigTiming.MAX_RETRY_DELAY);
    return delay;
  }

  private void restartIfSilent(Duration silence) {
    if (timers.nowNanos() - cycleStartNanos >= silence.toNanos()) {
      reachable = false;
      logger.atWarning().log("event=config_watch_silent after_ms=%d", silence.toMillis());
      startCycle();
    }
  }
}
