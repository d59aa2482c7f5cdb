package org.amaranthstream.jobs;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import org.amaranthstream.routing.Route;
import org.amaranthstream.time.TimerService;
import org.jspecify.annotations.Nullable;

/** One reward call for an item whose text is complete. Must be used on one thread. */
final class RewardRunner implements StageRun {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Observer of the end of reward calls. */
  interface Observer {
    /** Called when a reward call ends and another one may start. */
    void onRewardCallEnded(OwnedJob job);
  }

  private final OwnedJob job;
  private final ItemProgress item;
  private final Route route;
  private final int maxFailures;
  private final TimerService timers;
  private final Observer observer;
  private @Nullable StageRun run;
  private boolean isOver;

  RewardRunner(
      OwnedJob job,
      ItemProgress item,
      Route route,
      int maxFailures,
      TimerService timers,
      Observer observer) {
    this.job = job;
    this.item = item;
    this.route = route;
    this.maxFailures = maxFailures;
    this.timers = timers;
    this.observer = observer;
  }

  /** Sends the call. */
  void start(RewardTransport transport, RewardCall call) {
    item.onRunStarted(this);
    Duration timeout = RewardCallPolicy.timeout(route, item.consecutiveBreaks());
    logger.atFine().log(
        "event=reward_call_sent job=%s item=%s call=%s timeout_ms=%d",
        job.id(), item.spec().id(), call.id(), timeout.toMillis());
    StageRun started = transport.start(route, call, timeout, this::onOutcome);
    if (!isOver) {
      run = started;
    }
  }

  @Override
  public void cancel() {
    isOver = true;
    if (run != null) {
      run.cancel();
    }
  }

  private void onOutcome(RewardOutcome outcome) {
    if (isOver) {
      return;
    }
    isOver = true;
    apply(outcome, timers.nowNanos());
    observer.onRewardCallEnded(job);
  }

  private void apply(RewardOutcome outcome, long now) {
    if (outcome instanceof RewardOutcome.Scored scored) {
      job.onScored(item, scored.score());
    } else if (outcome instanceof RewardOutcome.Failed failed) {
      onFailed(failed, now);
    } else if (outcome instanceof RewardOutcome.NotRun notRun) {
      item.retryAfter(now, notRun.retryAfter(), notRun.reason());
    } else {
      item.retryLater(now, ((RewardOutcome.Broken) outcome).reason());
    }
  }

  private void onFailed(RewardOutcome.Failed failed, long now) {
    int failures = item.countFailure();
    if (failures < maxFailures) {
      item.retryLater(now, "the reward call failed with HTTP status " + failed.status());
      return;
    }
    logger.atWarning().log(
        "event=item_given_up job=%s item=%s stage=%s failures=%d status=%d",
        job.id(), item.spec().id(), item.stage(), failures, failed.status());
    job.giveUp(item);
  }
}
