package org.amaranthstream.daemon;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.membership.MembershipTable;
import org.amaranthstream.platform.VmEntry;
import org.amaranthstream.platform.VmList;
import org.amaranthstream.result.Result;
import org.amaranthstream.ring.Duty;
import org.amaranthstream.time.TimerService;

/**
 * A poller that reads the platform's VM list periodically and applies it to the membership table.
 * Used on the decision thread; at most one read is in progress.
 */
final class VmListPoller {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOG_INTERVAL_SECONDS = 10;

  private final VmList list;
  private final MembershipTable table;
  private final Duty decisions;
  private final TimerService timers;
  private boolean reading;

  VmListPoller(VmList list, MembershipTable table, Duty decisions, TimerService timers) {
    this.list = list;
    this.table = table;
    this.decisions = decisions;
    this.timers = timers;
  }

  void start(Duration interval) {
    decisions.offer(this::read);
    timers.every(interval, this::read);
  }

  private void read() {
    if (!reading) {
      reading = true;
      list.read().thenAccept(this::enqueue);
    }
  }

  /**
   * Passes the response to the decision thread. If its task queue is full, the timer service
   * retries.
   */
  private void enqueue(Result<List<VmEntry>> response) {
    if (!decisions.offer(() -> apply(response))) {
      timers.after(Duration.ZERO, () -> apply(response));
    }
  }

  private void apply(Result<List<VmEntry>> response) {
    reading = false;
    if (response instanceof Result.Success<List<VmEntry>> success) {
      table.onVmList(success.value(), timers.nowNanos());
    } else if (response instanceof Result.Failure<List<VmEntry>> failure) {
      logger.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
          "event=vm_list_unread reason=\"%s\"", failure.error());
    }
  }
}
