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
 * Reads the platform's VM list on a timer and gives it to the membership table. Used on the
 * decision thread; at most one read is open.
 */
final class VmListPoller {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOG_PERIOD_SECONDS = 10;

  private final VmList list;
  private final MembershipTable table;
  private final Duty decisions;
  private final TimerService timers;
  private boolean open;

  VmListPoller(VmList list, MembershipTable table, Duty decisions, TimerService timers) {
    this.list = list;
    this.table = table;
    this.decisions = decisions;
    this.timers = timers;
  }

  void start(Duration period) {
    decisions.offer(this::read);
    timers.every(period, this::read);
  }

  private void read() {
    if (!open) {
      open = true;
      list.read().thenAccept(this::hand);
    }
  }

  /** Hands the reply to the decision thread; while its ring is full, the timer tries again. */
  private void hand(Result<List<VmEntry>> reply) {
    if (!decisions.offer(() -> take(reply))) {
      timers.after(Duration.ZERO, () -> take(reply));
    }
  }

  private void take(Result<List<VmEntry>> reply) {
    open = false;
    if (reply instanceof Result.Success<List<VmEntry>> success) {
      table.onVmList(success.value(), timers.nowNanos());
    } else if (reply instanceof Result.Failure<List<VmEntry>> failure) {
      logger.atWarning().atMostEvery(LOG_PERIOD_SECONDS, TimeUnit.SECONDS).log(
          "event=vm_list_unread reason=\"%s\"", failure.error());
    }
  }
}
