package org.amaranthstream.usage;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.amaranthstream.duties.ApiReply;
import org.amaranthstream.ids.FencingNumber;
import org.amaranthstream.platform.TransactionalStore;
import org.amaranthstream.result.Result;
import org.amaranthstream.time.TimerService;
import org.amaranthstream.weights.FencingTokenSource;
import org.jspecify.annotations.Nullable;

/**
 * Reports the use of each window while this daemon holds the lease of the platform's API.
 *
 * <p>The counts of a window are fixed in the store before they are sent, so that every holder sends
 * the same ones. A report is repeated until it is accepted, is rejected, or is of no more use. Must
 * be used on the thread of its timers.
 */
public final class UsageReporter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration PERIOD = Duration.ofMillis(250);
  private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(500);
  private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(2);

  private final FencingTokenSource fences;
  private final UsageExchange exchange;
  private final FixedWindowStore store;
  private final Function<WindowCounts, CompletableFuture<ApiReply>> calls;
  private final TrueClock clock;
  private final TimerService timers;
  private final UsageTiming timing;
  private final TreeSet<Long> finished = new TreeSet<>();
  private final TreeMap<Long, Integer> attempts = new TreeMap<>();
  private @Nullable FixedWindows fixed;
  private Optional<FencingNumber> actingWith = Optional.empty();
  private long firstWindow;
  private boolean isPreparing;
  private boolean isSending;
  private long nextPreparationNanos;
  private long nextSendNanos;
  private Duration retryDelay = MIN_RETRY_DELAY;

  /**
   * Creates a reporter.
   *
   * @param calls sends the counts of a window to the platform
   */
  public UsageReporter(
      FencingTokenSource fences,
      UsageExchange exchange,
      TransactionalStore store,
      Function<WindowCounts, CompletableFuture<ApiReply>> calls,
      TrueClock clock,
      TimerService timers,
      UsageTiming timing) {
    this.fences = checkNotNull(fences, "fences");
    this.exchange = checkNotNull(exchange, "exchange");
    this.store = new FixedWindowStore(store);
    this.calls = checkNotNull(calls, "calls");
    this.clock = checkNotNull(clock, "clock");
    this.timers = checkNotNull(timers, "timers");
    this.timing = checkNotNull(timing, "timing");
  }

  /** Starts to report whenever this daemon holds the lease. */
  public void start() {
    firstWindow = timing.windowAt(clock.millis());
    nextPreparationNanos = timers.nowNanos();
    nextSendNanos = timers.nowNanos();
    timers.every(PERIOD, this::onPeriod);
  }

  private void onPeriod() {
    Optional<FencingNumber> held = fences.current();
    if (!held.equals(actingWith)) {
      actingWith = held;
      fixed = null;
    }
    if (held.isEmpty()) {
      return;
    }
    FixedWindows known = fixed;
    long now = timers.nowNanos();
    if (!isPreparing && now - nextPreparationNanos >= 0) {
      prepare(known);
    }
    if (known != null && !isSending && now - nextSendNanos >= 0) {
      sendNext(known);
    }
  }

  private void prepare(@Nullable FixedWindows known) {
    if (known == null) {
      isPreparing = true;
      store.read().thenAccept(this::onRead);
      return;
    }
    long next = nextWindow(known);
    if (clock.millis() < timing.settledAt(next)) {
      return;
    }
    isPreparing = true;
    exchange.collect(next).thenAccept(isComplete -> onCollected(known, next, isComplete));
  }

  private void onRead(Result<FixedWindows> result) {
    isPreparing = false;
    if (result instanceof Result.Success<FixedWindows> success) {
      fixed = success.value();
    } else {
      delayPreparation();
    }
  }

  private void delayPreparation() {
    nextPreparationNanos = timers.nowNanos() + MIN_RETRY_DELAY.toNanos();
  }

  /** Returns the window to fix next; windows whose report is of no more use are left out. */
  private long nextWindow(FixedWindows known) {
    long afterLast = known.last() < 0 ? firstWindow : known.last() + 1;
    return Math.max(afterLast, timing.oldestUseful(clock.millis()));
  }

  private void onCollected(FixedWindows known, long window, boolean isComplete) {
    boolean mayWait = clock.millis() < timing.collectedUntil(window);
    if (fixed != known || (!isComplete && mayWait)) {
      isPreparing = false;
      delayPreparation();
      return;
    }
    logMissed(known, window);
    WindowCounts counts = exchange.sum(window);
    store
        .fix(known, counts, timing.oldestUseful(clock.millis()))
        .thenAccept(result -> onFixed(known, counts, isComplete, result));
  }

  private static void logMissed(FixedWindows known, long window) {
    if (known.last() >= 0 && window > known.last() + 1) {
      logger.atWarning().log(
          "event=usage_windows_missed first=%d last=%d", known.last() + 1, window - 1);
    }
  }

  private void onFixed(
      FixedWindows known, WindowCounts counts, boolean isComplete, Optional<FixedWindows> result) {
    isPreparing = false;
    logger.atInfo().log(
        "event=usage_fixed window=%d requests=%d workspaces=%d complete=%s confirmed=%s",
        counts.window(), counts.total(), counts.requests().size(), isComplete, result.isPresent());
    if (fixed != known) {
      return;
    }
    // Without a confirmation the entry is read again, since the write may have taken effect.
    fixed = result.orElse(null);
    if (result.isEmpty()) {
      delayPreparation();
    }
  }

  /**
   * Sends the window that was sent least often, the oldest of these first, so that a window whose
   * answers are lost does not hold up the others.
   */
  private void sendNext(FixedWindows known) {
    long oldest = timing.oldestUseful(clock.millis());
    finished.headSet(oldest - 1).clear();
    attempts.headMap(oldest - 1).clear();
    for (WindowCounts counts : known.windows()) {
      if (!isFinished(counts) && !timing.isUseful(counts.window(), clock.millis())) {
        finish(counts, "late");
      }
    }
    known.windows().stream()
        .filter(counts -> !isFinished(counts))
        .min(Comparator.comparing(counts -> attempts.getOrDefault(counts.window(), 0)))
        .ifPresent(this::send);
  }

  private boolean isFinished(WindowCounts counts) {
    return finished.contains(counts.window());
  }

  private void send(WindowCounts counts) {
    isSending = true;
    attempts.merge(counts.window(), 1, Integer::sum);
    calls.apply(counts).thenAccept(reply -> onReply(counts, reply));
  }

  private void onReply(WindowCounts counts, ApiReply reply) {
    isSending = false;
    switch (reply) {
      case ACCEPTED -> {
        retryDelay = MIN_RETRY_DELAY;
        finish(counts, "accepted");
      }
      case REJECTED, UNAVAILABLE -> finish(counts, "rejected");
      default -> delaySending(counts, reply);
    }
  }

  private void delaySending(WindowCounts counts, ApiReply reply) {
    logger.atInfo().log("event=usage_not_accepted window=%d reply=%s", counts.window(), reply);
    nextSendNanos = timers.nowNanos() + retryDelay.toNanos();
    Duration doubled = retryDelay.multipliedBy(2);
    retryDelay = doubled.compareTo(MAX_RETRY_DELAY) < 0 ? doubled : MAX_RETRY_DELAY;
  }

  private void finish(WindowCounts counts, String outcome) {
    finished.add(counts.window());
    logger.atInfo().log(
        "event=usage_reported window=%d requests=%d outcome=%s late_ms=%d",
        counts.window(), counts.total(), outcome, clock.millis() - timing.endOf(counts.window()));
  }
}
