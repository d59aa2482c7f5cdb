package org.amaranthstream.daemon;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.amaranthstream.result.Result;
import org.amaranthstream.ring.DutyThread;
import org.amaranthstream.settings.Limits;
import org.amaranthstream.time.SystemTimerService;
import org.amaranthstream.time.TimerService;

/** The threads of a daemon: one for each duty, one for timers, and those of Vert.x. */
final class Threads implements AutoCloseable {
  private static final int EVENT_LOOP_THREADS = 2;
  private static final int WORKER_THREADS = 1;

  private final DutyThread decisions;
  private final DutyThread platform;
  private final SystemTimerService timers;
  private final TimerService decisionTimers;
  private final TimerService platformTimers;
  private final Vertx vertx;

  Threads(Limits limits) {
    this.decisions = DutyThread.start("decisions", limits.decisionQueueTasks());
    this.platform = DutyThread.start("platform", limits.platformQueueTasks());
    this.timers = SystemTimerService.start("timers");
    this.decisionTimers = timers.forDuty(decisions);
    this.platformTimers = timers.forDuty(platform);
    this.vertx =
        Vertx.vertx(
            new VertxOptions()
                .setEventLoopPoolSize(EVENT_LOOP_THREADS)
                .setWorkerPoolSize(WORKER_THREADS)
                .setInternalBlockingPoolSize(WORKER_THREADS));
  }

  DutyThread decisions() {
    return decisions;
  }

  DutyThread platform() {
    return platform;
  }

  TimerService decisionTimers() {
    return decisionTimers;
  }

  TimerService platformTimers() {
    return platformTimers;
  }

  Vertx vertx() {
    return vertx;
  }

  /**
   * Stops the timers, runs the queued tasks of the duties and stops their threads. Afterwards no
   * component runs tasks on them.
   */
  void closeDuties() {
    timers.close();
    decisions.close();
    platform.close();
  }

  /** Stops the event loops. */
  @Override
  public void close() {
    Result<BlockingFutures.Done> unused = BlockingFutures.await(vertx.close());
  }
}
