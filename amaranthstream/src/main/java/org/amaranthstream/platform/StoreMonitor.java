package org.amaranthstream.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.time.TimerService;

/**
 * A monitor of the availability of the store, determined by the outcome of calls.
 *
 * <p>An outage begins with a failed call and ends with the next call that succeeds. Outages in
 * quick succession are one, as the store may answer a few calls of many. Not thread safe: used on
 * the thread of its timers.
 */
public final class StoreMonitor {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The time without failures after which an outage is not continued by the next one. */
  private static final Duration MAX_PAUSE = Duration.ofSeconds(1);

  private final TimerService timers;
  private final List<Runnable> listeners = new ArrayList<>();
  private long responses;
  private boolean isUnavailable;
  private boolean hasFailed;
  private long lastResponseNanos;
  private long outageStartNanos;
  private long outageEndNanos;

  private StoreMonitor(TimerService timers) {
    this.timers = timers;
    this.lastResponseNanos = timers.nowNanos();
  }

  /** Returns a monitor that has recorded no failure. */
  public static StoreMonitor create(TimerService timers) {
    return new StoreMonitor(checkNotNull(timers, "timers"));
  }

  /** Records that the store has responded to a call. */
  public void onAnswered() {
    responses++;
    lastResponseNanos = timers.nowNanos();
    if (isUnavailable) {
      isUnavailable = false;
      outageEndNanos = lastResponseNanos;
      logger.atInfo().log("event=store_regained away_ms=%d", since(outageStartNanos).toMillis());
    }
  }

  /** Records that a call was rejected or got no response. */
  public void onFailed(String error) {
    if (!isUnavailable) {
      boolean isContinued = hasFailed && since(outageEndNanos).compareTo(MAX_PAUSE) < 0;
      if (!isContinued) {
        outageStartNanos = lastResponseNanos;
      }
      isUnavailable = true;
      hasFailed = true;
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

  /** Returns the last outage, empty if no call has failed yet. */
  public Optional<StoreOutage> lastOutage() {
    if (!hasFailed) {
      return Optional.empty();
    }
    return Optional.of(
        isUnavailable
            ? new StoreOutage(since(outageStartNanos), Optional.empty())
            : new StoreOutage(
                Duration.ofNanos(outageEndNanos - outageStartNanos),
                Optional.of(since(outageEndNanos))));
  }

  private Duration since(long nanos) {
    return Duration.ofNanos(timers.nowNanos() - nanos);
  }
}
