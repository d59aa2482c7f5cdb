package org.amaranthstream.jobs;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Function;
import org.amaranthstream.slots.SlotDemand;

/** Log of the jobs whose items wait, with the reason, at most one line for each job in 2 s. */
final class WaitingItemsLog {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration INTERVAL = Duration.ofSeconds(2);

  private OptionalLong lastNanos = OptionalLong.empty();

  /** A job with its demand for slots. */
  record Entry(OwnedJob job, SlotDemand demand) {}

  /**
   * Logs the entries with waiting items, unless the last call that logged is too recent.
   *
   * @param reason returns why the items of a job wait
   */
  void log(List<Entry> entries, Function<OwnedJob, String> reason, long nowNanos) {
    if (lastNanos.isPresent() && nowNanos - lastNanos.getAsLong() < INTERVAL.toNanos()) {
      return;
    }
    lastNanos = OptionalLong.of(nowNanos);
    for (Entry entry : entries) {
      SlotDemand demand = entry.demand();
      if (demand.waiting() > 0) {
        logger.atInfo().log(
            "event=items_waiting job=%s workspace=%s running=%d waiting=%d late=%s reason=%s",
            entry.job().id(),
            demand.sharer(),
            demand.running(),
            demand.waiting(),
            demand.isLate(),
            reason.apply(entry.job()));
      }
    }
  }
}
