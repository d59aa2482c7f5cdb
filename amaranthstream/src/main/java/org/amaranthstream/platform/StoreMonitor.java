package org.amaranthstream.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.amaranthstream.time.TimerService;

/**
 * Remembers how the last calls to the store went. Used on the thread of its timers.
 *
 * <p>An outage begins with a call that failed and ends with the next one that is answered.
 */
public final class StoreMonitor {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final TimerService timers;
  private final List<Runnable> listeners = new ArrayList<>();
  private long answered;
  private boolean isUnavailable;
  private boolean hasFailed;
  private long unavailableSinceNanos;
  private long lastFailureNanos;

  private StoreMonitor(TimerService timers) {
    this.timers = timers;
  }

  /** Returns a monitor that has seen no failure. */
  public static StoreMonitor create(TimerService timers) {
    return new StoreMonitor(checkNotNull(timers, "timers"));
  }

  /** A call was answered. */
  public void onAnswered() {
    answered++;
    if (isUnavailable) {
      isUnavailable = false;
      logger.atInfo().log("event=store_regained away_ms=%d", millisSince(unavailableSinceNanos));
    }
  }

  /** A call was refused or got no answer. */
  public void onFailed(String error) {
    lastFailureNanos = timers.nowNanos();
    hasFailed = true;
    if (!isUnavailable) {
      isUnavailable = true;
      unavailableSinceNanos = lastFailureNanos;
      logger.atWarning().log("event=store_lost error=\"%s\"", error);
      listeners.forEach(Runnable::run);
    }
  }

  /** Calls {@code task} whenever an outage begins. */
  public void onUnavailable(Runnable task) {
    listeners.add(task);
  }

  /** Returns the number of calls that were answered. */
  public long answeredCount() {
    return answered;
  }

  /** Returns true if the last call failed. */
  public boolean isUnavailable() {
    return isUnavailable;
  }

  /** Returns true if a call failed within the last {@code period}. */
  public boolean hasFailedWithin(Duration period) {
    return hasFailed && timers.nowNanos() - lastFailureNanos < period.toNanos();
  }

  private long millisSince(long nanos) {
    return Duration.ofNanos(timers.nowNanos() - nanos).toMillis();
  }
}
