package org.amaranthstream.logs;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import org.amaranthstream.time.TimerService;

/**
 * A bound on the lines that clients can cause in the log: a number of lines a second, and a line
 * with the number of those that were left out. Not thread safe: used on the thread of its timers.
 *
 * <pre>{@code
 * if (quota.tryTake()) {
 *   logger.atInfo().log("event=request_rejected request=%s", id);
 * }
 * }</pre>
 */
public final class LogQuota {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long WINDOW_NANOS = Duration.ofSeconds(1).toNanos();
  private static final int LINES_PER_WINDOW = 200;

  private final TimerService timers;
  private final String events;
  private long windowStartNanos;
  private int lines;
  private long omittedLines;

  private LogQuota(TimerService timers, String events) {
    this.timers = timers;
    this.events = events;
    this.windowStartNanos = timers.nowNanos();
  }

  /**
   * Creates a quota.
   *
   * @param events the name of the bounded events, for the line with the number of omitted ones
   */
  public static LogQuota create(TimerService timers, String events) {
    return new LogQuota(checkNotNull(timers, "timers"), checkNotNull(events, "events"));
  }

  /** Returns true if a line may be logged now. */
  public boolean tryTake() {
    long now = timers.nowNanos();
    if (now - windowStartNanos >= WINDOW_NANOS) {
      windowStartNanos = now;
      lines = 0;
      logOmitted();
    }
    boolean isTaken = lines < LINES_PER_WINDOW;
    if (isTaken) {
      lines++;
    } else {
      omittedLines++;
    }
    return isTaken;
  }

  private void logOmitted() {
    if (omittedLines > 0) {
      logger.atWarning().log("event=lines_omitted of=%s count=%d", events, omittedLines);
      omittedLines = 0;
    }
  }
}
