package org.amaranthstream.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.amaranthstream.time.TimerService;

/**
 * A monitor of the availability of the store, determined by the outcome of calls.
 *
 * <p>An outage begins with a failed call and ends with the next call that succeeds. Not thread
 * safe: used on the thread of its timers.
 */
public final class StoreMonitor {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final TimerService timers;
  private final List<Runnable> listeners = new ArrayList<>();
  private long responses;
  private boolean isUnavailable;
  private boolean hasFailed;
  private long unavailableSinceNanos;
  private long lastFailureNanos;

  private StoreMonitor(TimerService timers) {
    this.timers = timers;
  }

  /** Returns a monitor that has recorded no failure. */
  public static StoreMonitor create(TimerService timers) {
    return new StoreMonitor(checkNotNull(timers, "timers"));
  }

  /** Records that the store has responded to a call. */
  public void onAnswered() {
    responses++;
    if (isUnavailable) {
      isUnavailable = false;
      logger.atInfo().log("event=store_regained away_ms=%d", millisSince(unavailableSinceNanos));
    }
  }

  /** Records that a call was rejected or got no response. */
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

  /** Adds a task that runs whenever an outage begins. */
  public void onUnavailable(Runnable task) {
    listeners.add(task);
  }

  /** Returns the number of calls to which the store has responded. */
  public long answeredCount() {
    return responses;
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
